package io.bilberrygrade.core.contention;

/** Why a request was admitted or refused. */
public enum AdmissionCause {
    /** It can be in time. */
    IN_TIME,
    /** It will be late, but makes no other late. */
    LATE_IN_FREE_TIME,
    /** It was refused before and has come at the time that it was given. */
    RETURNED,
    /** Its team was served less than a quarter as often as all. */
    TEAM_FLOOR,
    /** Requests of its length were served less than half as often as those of its kind. */
    LENGTH_FLOOR,
    /** It can't be served before its caller gives up. */
    PAST_DEADLINE,
    /** It would be late, and others of its rank are late already. */
    MAKES_OTHERS_LATE,
    /** It takes engine time in which several others of its rank could be in time. */
    TOO_COSTLY,
    /** Its team got more engine time than its share, and others of its rank less. */
    OVER_TEAM_SHARE,
    /** The engines' queues are kept for requests of higher rank. */
    QUEUE_FOR_HIGHER_RANKS
}
