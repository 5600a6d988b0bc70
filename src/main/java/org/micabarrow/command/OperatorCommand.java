package org.micabarrow.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.settings.SettingsReader;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Plan;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;

/** A command that asks an entry. */
abstract class OperatorCommand extends Command {

    /** How long an entry may take for an answer; a confirmation waits until the plan is in force. */
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private static final String TOKEN_VARIABLE = "MICABARROW_TOKEN";

    @Parameter(names = "--entry", description = "The operators' address of any entry")
    private String entry = "http://127.0.0.1:8081";

    @Parameter(names = "--token", description = "The operator's token; else the variable " + TOKEN_VARIABLE)
    private String token;

    @Parameter(names = "--json", description = "Print JSON")
    private boolean json;

    boolean json() {
        return json;
    }

    private String token() {
        return Optional.ofNullable(token)
                .or(() -> Optional.ofNullable(System.getenv(TOKEN_VARIABLE)))
                .orElse("");
    }

    /** Asks the entry and reads its answer. */
    <T> Result<T> ask(String method, String path, byte[] body, HeaderFields headers, Class<T> type) {
        try (HttpClient caller = HttpClient.start("command", 1)) {
            HttpCall call = new HttpCall(Step.READ, method, URI.create(entry + path), headers, body)
                    .withHeader("Authorization", "Bearer " + token());
            return caller.call(call, TIMEOUT).flatMap(answer -> read(answer, type));
        }
    }

    private static <T> Result<T> read(HttpClient.HttpResponse answer, Class<T> type) {
        try {
            if (answer.status() == 200) {
                return Result.success(CanonicalJson.read(answer.body(), type));
            }
            OperatorMessages.Error error = CanonicalJson.read(answer.body(), OperatorMessages.Error.class);
            return Result.failure(Fault.of(
                    Step.valueOf(error.step().toUpperCase(Locale.ROOT)),
                    error.peer(),
                    Reason.valueOf(error.reason().toUpperCase(Locale.ROOT)),
                    error.message()));
        } catch (IOException e) {
            return Result.failure(Fault.of(
                    Step.READ, "entry", Reason.CORRUPT, "status " + answer.status() + ", the answer cannot be read"));
        }
    }

    /** Prints an answer as JSON or for people. */
    <T> ExitCode print(Console console, Result<T> result, Consumer<T> forPeople) {
        return switch (result) {
            case Result.Failure<T>(Fault fault) -> console.show(fault);
            case Result.Success<T>(T value) -> {
                if (json) {
                    console.out().println(new String(CanonicalJson.write(value), StandardCharsets.UTF_8));
                } else {
                    forPeople.accept(value);
                }
                yield ExitCode.OK;
            }
        };
    }

    /** Shows what would be done for an intent. */
    @Parameters(commandDescription = "Show the plan for an intent; nothing is done until it is confirmed")
    static final class PlanCommand extends OperatorCommand {

        @Parameter(
                names = {"-f", "--file"},
                required = true,
                description = "The intent")
        private String file;

        @Override
        String example() {
            return "micabarrow plan -f intent.jsonc";
        }

        @Override
        ExitCode run(Console console) {
            Result<OperatorMessages.PlanResponse> planned = SettingsReader.bytes(Path.of(file), Step.INTENT)
                    .flatMap(bytes -> ask(
                            "POST",
                            "/plan",
                            bytes,
                            HeaderFields.of("X-File", file),
                            OperatorMessages.PlanResponse.class));
            return print(console, planned, answer -> show(console, answer));
        }

        private static void show(Console console, OperatorMessages.PlanResponse planned) {
            console.out()
                    .println("plan " + planned.id() + " (made on generation "
                            + planned.plan().basis() + ")");
            planned.plan()
                    .organisations()
                    .forEach(organisation -> console.out()
                            .println(
                                    "  set organisation " + organisation.name() + ", weight " + organisation.weight()));
            planned.plan().placements().forEach(step -> show(console, step));
            console.out().println("nothing is done until: micabarrow confirm " + planned.id());
        }

        private static void show(Console console, Plan.Step step) {
            console.out()
                    .println("  placement " + step.placement().name() + ": "
                            + step.placement().workload().name() + " on "
                            + step.placement().replicas() + " instances"
                            + (step.placement().workload().version().isEmpty()
                                    ? ""
                                    : ", version " + step.placement().workload().version()));
            step.chains()
                    .forEach(chain -> console.out()
                            .println("    "
                                    + (step.moves().isEmpty() ? "on " : "origin -> ")
                                    + String.join(
                                            step.moves().isEmpty() ? ", " : " -> ",
                                            chain.stream()
                                                    .map(replica -> replica.instance() + " (" + replica.hall() + ")")
                                                    .toList())));
            step.removed().forEach(instance -> console.out().println("    leaves " + instance));
            Plan.Estimate estimate = step.estimate();
            console.out()
                    .println(String.format(
                            Locale.ROOT,
                            "    moves %d copies of %d bytes; origin gives %d bytes; %d copies cross halls; about %.1f s",
                            step.moves().size(),
                            estimate.bytes(),
                            estimate.originBytes(),
                            estimate.hallCrossings(),
                            estimate.millis() / 1000.0));
            console.out()
                    .println("    envelope: " + step.placement().envelope().replacements() + " replacements, "
                            + step.placement().envelope().originBytes() + " further origin bytes");
        }
    }

    /** Puts a plan in force. */
    @Parameters(commandDescription = "Put a plan in force")
    static final class ConfirmCommand extends OperatorCommand {

        @Parameter(description = "PLAN", required = true)
        private List<String> plan = new ArrayList<>();

        @Override
        String example() {
            return "micabarrow confirm 5f0c...";
        }

        @Override
        ExitCode run(Console console) {
            byte[] body = CanonicalJson.write(new OperatorMessages.ConfirmRequest(plan.getFirst()));
            Result<OperatorMessages.ConfirmResponse> confirmed =
                    ask("POST", "/confirm", body, HeaderFields.empty(), OperatorMessages.ConfirmResponse.class);
            return print(console, confirmed, answer -> console.out().println(sentence(answer)));
        }

        private static String sentence(OperatorMessages.ConfirmResponse answer) {
            String sentence = "in force since offset " + answer.offset() + " on " + answer.inForceOn() + " of "
                    + answer.instances() + " instances";
            return answer.notConfirmedBy().isEmpty()
                    ? sentence
                    : sentence + ", not confirmed by: " + String.join(", ", answer.notConfirmedBy());
        }
    }

    /** Tells where a request would go, and why not elsewhere. */
    @Parameters(commandDescription = "Tell for a request why each replica may or may not take it")
    static final class ExplainCommand extends OperatorCommand {

        @Parameter(names = "--organisation", required = true, description = "Who would ask")
        private String organisation;

        @Parameter(names = "--model", description = "The model asked for")
        private String model;

        @Parameter(names = "--service", description = "The service asked for")
        private String service;

        @Override
        String example() {
            return "micabarrow explain --organisation taller --model assistant";
        }

        @Override
        ExitCode run(Console console) {
            if ((model == null) == (service == null)) {
                console.err().println("micabarrow: give either --model or --service");
                return ExitCode.USAGE;
            }
            String workload = model == null ? "&service=" + encode(service) : "&model=" + encode(model);
            Result<OperatorMessages.ExplainResponse> explained = ask(
                    "GET",
                    "/explain?organisation=" + encode(organisation) + workload,
                    new byte[0],
                    HeaderFields.empty(),
                    OperatorMessages.ExplainResponse.class);
            return print(console, explained, answer -> {
                console.out().println(answer.verdict());
                answer.replicas()
                        .forEach(one -> console.out()
                                .println("  " + one.instance() + " (" + one.hall() + "): "
                                        + (one.eligible() ? "may take it" : "left out, " + one.reason())));
            });
        }

        private static String encode(String text) {
            return URLEncoder.encode(text, StandardCharsets.UTF_8);
        }
    }
}
