package org.micabarrow.settings;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;
import org.micabarrow.settings.JsonDocument.Rule;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Intent;
import org.micabarrow.state.Organisation;
import org.micabarrow.state.Placement;
import org.micabarrow.state.Result;

/**
 * Reads operators' intents.
 *
 * <pre>{@code
 * Result<Intent> intent = IntentReader.read("intent.jsonc", bytes);
 * }</pre>
 */
public final class IntentReader {

    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
    private static final String NAME_DESCRIPTION = "1 to 63 letters, digits, '.', '_' or '-'";
    private static final String DIGEST = "[0-9a-f]{64}";
    private static final String DIGEST_DESCRIPTION = "a SHA-256 of 64 hexadecimal digits";

    private static final List<Rule> RULES = List.of(
            Rule.pattern("/organisations/*/name", NAME, NAME_DESCRIPTION),
            Rule.pattern("/organisations/*/tokenDigest", DIGEST, DIGEST_DESCRIPTION),
            Rule.range("/organisations/*/weight", 1, 1000),
            Rule.pattern("/placements/*/name", NAME, NAME_DESCRIPTION),
            Rule.pattern("/placements/*/target/type", "model|service", "model or service"),
            Rule.pattern("/placements/*/target/name", NAME, NAME_DESCRIPTION),
            Rule.pattern("/placements/*/target/version", DIGEST, DIGEST_DESCRIPTION),
            Rule.pattern("/placements/*/target/adapters/*", DIGEST, DIGEST_DESCRIPTION),
            Rule.range("/placements/*/replicas", 0, 100_000),
            Rule.pattern("/placements/*/prefer", "time|originBytes", "time or originBytes"),
            Rule.pattern("/placements/*/whenCutOff", "serve|refuse", "serve or refuse"),
            Rule.range("/placements/*/envelope/replacements", 0, 100_000),
            Rule.range("/placements/*/envelope/originBytes", 0, Long.MAX_VALUE));

    private IntentReader() {}

    /**
     * Reads an intent.
     *
     * @param file the file's name, for errors
     * @param bytes the text
     * @return the intent, or all errors in it
     */
    public static Result<Intent> read(String file, byte[] bytes) {
        return JsonDocument.parse(file, bytes, Fault.Step.INTENT)
                .flatMap(document -> document.bind(Form.class, RULES))
                .map(Form::intent);
    }

    /** JSON form of an intent. */
    record Form(Optional<List<OrganisationForm>> organisations, Optional<List<PlacementForm>> placements) {

        Intent intent() {
            return new Intent(
                    organisations.orElse(List.of()).stream()
                            .map(OrganisationForm::organisation)
                            .toList(),
                    placements.orElse(List.of()).stream()
                            .map(PlacementForm::declared)
                            .toList());
        }
    }

    /** JSON form of an organisation. */
    record OrganisationForm(String name, String tokenDigest, Optional<Integer> weight) {

        Organisation organisation() {
            return new Organisation(name, tokenDigest, weight.orElse(1));
        }
    }

    /** JSON form of a placement. */
    record PlacementForm(
            String name,
            TargetForm target,
            Optional<List<String>> regions,
            Optional<List<String>> halls,
            List<String> organisations,
            int replicas,
            Optional<String> prefer,
            Optional<String> whenCutOff,
            Optional<EnvelopeForm> envelope) {

        Intent.DeclaredPlacement declared() {
            EnvelopeForm allowed = envelope.orElse(new EnvelopeForm(Optional.empty(), Optional.empty()));
            return new Intent.DeclaredPlacement(
                    name,
                    target.target(),
                    regions.orElse(List.of()),
                    halls.orElse(List.of()),
                    organisations,
                    replicas,
                    prefer.orElse("time").equals("time")
                            ? Placement.RolloutPreference.TIME
                            : Placement.RolloutPreference.ORIGIN_BYTES,
                    whenCutOff.orElse("serve").equals("serve")
                            ? Placement.CutOffPolicy.SERVE
                            : Placement.CutOffPolicy.REFUSE,
                    new Placement.Envelope(
                            allowed.replacements().orElse(0),
                            allowed.originBytes().orElse(0L)));
        }
    }

    /** JSON form of an envelope. */
    record EnvelopeForm(Optional<Integer> replacements, Optional<Long> originBytes) {}

    /** JSON form of the target of a placement. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = ModelForm.class, name = "model"),
        @JsonSubTypes.Type(value = ServiceForm.class, name = "service")
    })
    sealed interface TargetForm {

        /** Converts the target to the form used by the planner. */
        Intent.Target target();
    }

    /** JSON form of a model. */
    record ModelForm(String name, String version, Optional<List<String>> adapters) implements TargetForm {

        @Override
        public Intent.Target target() {
            return new Intent.Target.Model(name, version, adapters.orElse(List.of()));
        }
    }

    /** JSON form of a service. */
    record ServiceForm(String name, Optional<Boolean> repeatable) implements TargetForm {

        @Override
        public Intent.Target target() {
            return new Intent.Target.Service(name, repeatable.orElse(false));
        }
    }
}
