package org.micabarrow.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.micabarrow.settings.Common;
import org.micabarrow.standin.EngineStandin;
import org.micabarrow.standin.PlatformStandin;
import org.micabarrow.standin.ServiceStandin;

/** Runs stand-ins for what lies outside the system. */
@Parameters(commandDescription = "Run stand-ins for the platform and for endpoints, for demonstrations and tests")
final class StandinCommand extends Command {

    @Parameter(names = "--platform", description = "host:port of the platform")
    private String platform;

    @Parameter(names = "--origin-rate", description = "Bytes a second that the origin's link carries")
    private long originRate = 1L << 30;

    @Parameter(names = "--store-rate", description = "Bytes a second that the weight store gives")
    private long storeRate = 1L << 30;

    @Parameter(names = "--engine", description = "host:port of a model engine; may be repeated")
    private List<String> engines = new ArrayList<>();

    @Parameter(names = "--service", description = "host:port of a plain service; may be repeated")
    private List<String> services = new ArrayList<>();

    @Parameter(names = "--slots", description = "Requests that an engine runs at once")
    private int slots = 16;

    @Parameter(names = "--prefill-millis", description = "Time to an engine's first token")
    private long prefillMillis = 20;

    @Parameter(names = "--token-millis", description = "Time between an engine's tokens")
    private long tokenMillis = 5;

    @Parameter(names = "--service-millis", description = "Time that a call of a service takes")
    private long serviceMillis = 20;

    @Override
    String example() {
        return "micabarrow standin --platform 127.0.0.1:9000 --engine 127.0.0.1:9101 --service 127.0.0.1:9102";
    }

    @Override
    ExitCode run(Console console) throws InterruptedException {
        Logs.setUp(new Common.Logging("text", "info"));
        if (platform != null) {
            PlatformStandin.start(platform, originRate, storeRate);
        }
        engines.forEach(
                address -> EngineStandin.start(address, new EngineStandin.Timing(slots, prefillMillis, tokenMillis)));
        services.forEach(address -> ServiceStandin.start(address, serviceMillis));
        return RunCommand.serve(() -> console.out().println("stand-ins stop"));
    }
}
