package org.micabarrow.command;

import com.beust.jcommander.Parameters;
import java.security.SecureRandom;
import java.util.Base64;
import org.micabarrow.state.Digest;

/** Makes a token; only its digest goes into settings and intents. */
@Parameters(commandDescription = "Make a token and its digest")
final class TokenCommand extends Command {

    /** The random bytes of a token, which nobody can guess. */
    private static final int TOKEN_BYTES = 24;

    @Override
    String example() {
        return "micabarrow token";
    }

    @Override
    ExitCode run(Console console) {
        byte[] random = new byte[TOKEN_BYTES];
        new SecureRandom().nextBytes(random);
        String token = Base64.getUrlEncoder().withoutPadding().encodeToString(random);
        console.out().println("token:  " + token);
        console.out().println("digest: " + Digest.of(token));
        return ExitCode.OK;
    }
}
