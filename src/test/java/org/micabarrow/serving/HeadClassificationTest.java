package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.serving.EndpointProtocol.ResponseHead;

/** Checks the classification of response heads. */
class HeadClassificationTest {

    @ParameterizedTest
    @CsvSource({
        // what the head states, status, repeatable, response started, classification
        "own signed,             200, false, false, ANSWER",
        "own signed,             404, false, false, ANSWER",
        "own signed,             500, false, false, ERROR",
        "own signed,             500, true,  false, ERROR",
        "own signed,             500, true,  true,  NOT_TO_PASS",
        "own signed,             200, true,  true,  ANSWER",
        "own signed,             404, true,  true,  NOT_TO_PASS",
        "own signed,             503, false, false, NOT_TO_PASS",
        "own signed,             503, true,  false, ERROR",
        "own signed,             429, false, false, NOT_TO_PASS",
        "own signed,             429, true,  false, ANSWER",
        "own signed,             408, false, false, NOT_TO_PASS",
        "own signed,             421, false, false, NOT_TO_PASS",
        "own,                    200, true,  false, NO_ANSWER",
        "signed,                 200, true,  false, NO_ANSWER",
        "own notRun,             503, false, false, NOT_RUN",
        "own signed notRun,      503, false, true,  NOT_RUN",
        "own misdirected,        421, false, false, MISDIRECTED",
        "own signed misdirected, 421, true,  false, MISDIRECTED",
        "notRun misdirected,     421, true,  false, NOT_RUN"
    })
    void shouldClassifyByWhatHeadStates(
            String states, int status, boolean repeatable, boolean responseStarted, HeadClassification expected) {
        ResponseHead head = new ResponseHead(
                status,
                states.contains("own"),
                states.contains("signed"),
                states.contains("notRun"),
                states.contains("misdirected"),
                Optional.empty(),
                false,
                OptionalLong.empty(),
                OptionalDouble.empty(),
                OptionalLong.empty(),
                HeaderFields.empty());
        assertEquals(expected, HeadClassification.classify(head, repeatable, responseStarted));
    }
}
