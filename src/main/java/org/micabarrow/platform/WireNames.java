package org.micabarrow.platform;

/** The names of headers and paths on the platform's wire. */
final class WireNames {

    // -- headers of requests

    /** The id of one client attempt, passed on and echoed in answers. */
    static final String ATTEMPT = "Attempt-Id";

    /** How many milliseconds the sender will wait. */
    static final String DEADLINE = "Deadline-Ms";

    /** The id of the last event received, from which a resumed stream goes on. */
    static final String LAST_EVENT = "Last-Event-Id";

    /** The model that is to answer. */
    static final String MODEL = "Model";

    /** The prompt's tokens and the most tokens to generate, joined by a comma. */
    static final String TOKENS = "Token-Count";

    /** The parts of the prompt in order, each as {@code ID:TOKENS}, joined by commas. */
    static final String PROMPT_PARTS = "Prompt-Prefix";

    /** The client's estimate of the tokens that the answer will have; often far off. */
    static final String LENGTH_HINT = "Length-Hint";

    /** The client's key; never shown to endpoints. */
    static final String KEY = "Key";

    // -- headers that the system sets

    /** The organisation that holds the client's key. */
    static final String ORGANISATION = "Tenant";

    /** The id of the only endpoint that may run the request. */
    static final String EXPECTED_ENDPOINT = "Expect-Instance";

    /** The only weight version that may answer. */
    static final String EXPECTED_VERSION = "Expect-Version";

    /** How urgent the request is for the endpoint's queue, 0 first. */
    static final String PRIORITY = "Request-Priority";

    // -- headers of answers

    /** The id of the endpoint that answers. */
    static final String INSTANCE = "Instance-Id";

    /** Present if the endpoint states that it has not run the request. */
    static final String NOT_RUN = "Not-Executed";

    /** The endpoint's signature; an answer of ours never carries one. */
    static final String SIGNATURE = "Server-Seal";

    /** The weight version that answers. */
    static final String WEIGHT_VERSION = "Weight-Versions";

    /** {@code 1} in all answers of an endpoint that leaves. */
    static final String LEAVING = "Server-Leaving";

    /** For how many seconds an endpoint that turns a request away wants nothing of whoever sent it. */
    static final String REST = "Retry-After";

    /** How many requests a second an endpoint takes from all entries together, in each answer for as long as that holds. */
    static final String LIMIT = "Server-Limit";

    /** How much longer the endpoint stays cold, in milliseconds. */
    static final String COLD = "Cold-Ms";

    // -- calls to endpoints

    static final String REPORT = "/api/report";
    static final String ORDER = "/api/order";
    static final String STAGE_PUT = "/api/stage-put/";
    static final String STAGE_GET = "/api/stage-get/";

    // -- calls to the origin of weights

    static final String DIGESTS = "/api/manifest/";
    static final String CHUNK = "/api/piece/";

    // -- calls to the store

    static final String LOG_NEWEST = "/api/log-newest";
    static final String LOG_READ = "/api/log-read";
    static final String LOG_APPEND = "/api/log-append";

    /** In all answers of the store: how many times it has continued from an older copy, which gives out offsets again. */
    static final String STORE_ERA = "Store-Era";

    // -- topics of the store

    static final String OPERATOR_TOPIC = "keyed.op";
    static final String ENDPOINTS_TOPIC = "keyed.servers";

    /** The system's own: the weight versions that its processes saw being named. */
    static final String NAMED_TOPIC = "keyed.micabarrow.versions";

    /** The system's own: the endpoints that crashed, and the requests that were there. */
    static final String CRASHES_TOPIC = "keyed.micabarrow.crashes";

    private WireNames() {}
}
