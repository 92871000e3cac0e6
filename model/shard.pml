/*
 * Replication, election and reconfiguration of one shard.
 *
 * Replicas 0 to 2 are the first set; replica 3 is a blank one that can only come in as a learner (a new machine, or a
 * wiped disk under its new incarnation). One exchange of request and answer is one atomic step; an answer that was lost
 * is one its receiver never acts on, a delayed message a step that happens late, a paused process one that takes no step
 * for long, and a restarted one a process that does nothing more with what it knew.
 * docs/design/job-shards.md maps the steps to functions.
 *
 * Seeded bugs (-D): BLANK_VOTES, NO_EPOCH_CHECK, QUORUM_OF_TWO, SEASON_EARLY, SERVE_EARLY, NO_LOG_CHECK.
 */
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef ROUNDS
#define ROUNDS 2
#endif
#ifndef LENGTH
#define LENGTH 3
#endif
#ifndef WIPES
#define WIPES 2
#endif

#define N 4
#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)
#define TERM(epoch, round) ((epoch) * 4 + (round))
#define EPOCH(term) ((term) >> 2)
#define ROUND(term) ((term) & 3)
#define AT(i, k) log[(i) * LENGTH + (k)]

/* The key-value service: the newest epoch; sets and seasoned members by epoch. */
byte newest = 1;
byte members[EPOCHS + 1];
byte seasoned[EPOCHS + 1];

/* Durable state of a replica. */
byte config[N];      /* newest epoch it knows */
byte promised[N];    /* newest term it promised */
byte activated[N];   /* newest epoch it knows to be activated */
byte length[N];
byte log[N * LENGTH]; /* terms of the entries */

/* Volatile state. */
byte votes[N];
bool leads[N];
byte commit[N];
byte acked[N];       /* members that acknowledged the leader's whole log */
byte knows[N];       /* members that told the leader they know the epoch to be activated */

/* What the checker remembers. */
byte committed[LENGTH];   /* term of the entry committed at each place, */
byte committedIn[LENGTH]; /* and of the leader that did so first */
byte served = 0;     /* newest epoch in which a command was acknowledged to a client */
byte wipes = 0;
byte lost = 0;       /* set of disks that are gone */

byte k, n, set;
bool ok;

#define MEMBER(i) HAS(members[config[i]], i)
#define PROVEN(i) (HAS(seasoned[newest], i) || activated[i] == newest)
#define UP(i) (!HAS(lost, i))

/* Whether the log of candidate a is at least as up to date as that of voter b. */
#ifdef NO_LOG_CHECK
#define UP_TO_DATE(a, b) true
#else
#define LAST(i) (length[i] == 0 -> 0 : AT(i, length[i] - 1))
#define UP_TO_DATE(a, b) (LAST(a) > LAST(b) || (LAST(a) == LAST(b) && length[a] >= length[b]))
#endif

/* Whether a promise for term b lets a replica take part in term a. */
#ifdef NO_EPOCH_CHECK
#define NEWER(a, b) (ROUND(a) > ROUND(b) || a > b)
#define NOT_OLDER(a, b) (ROUND(a) >= ROUND(b) || a >= b)
#else
#define NEWER(a, b) (a > b)
#define NOT_OLDER(a, b) (a >= b)
#endif

inline step_down(a) { leads[a] = false; votes[a] = 0; knows[a] = 0; commit[a] = 0; acked[a] = 0 }

inline adopt(a, epoch) {
    if
    :: config[a] < epoch -> config[a] = epoch; step_down(a)
    :: else
    fi
}

/* Copies the leader's log, keeping entries behind it that do not contradict it. */
inline copy_log(a, b) {
    k = 0; ok = true;
    do
    :: k < length[a] ->
        if
        :: k >= length[b] || AT(b, k) != AT(a, k) ->
            ok = false; AT(b, k) = AT(a, k)
        :: else
        fi;
        k++
    :: else -> break
    od;
    if
    :: !ok || length[b] < length[a] ->
        do
        :: k < length[b] -> AT(b, k) = 0; k++
        :: else -> break
        od;
        length[b] = length[a]
    :: else
    fi;
    k = 0; ok = false
}

/* A follower learns the commit index, and with it that the epoch is activated. */
inline learn_commit(a, b) {
    if
    :: commit[a] > 0 && MEMBER(b) && config[b] == EPOCH(promised[a]) && EPOCH(AT(a, commit[a] - 1)) == config[b] ->
        activated[b] = config[b]
    :: else
    fi
}

/*
 * The leader commits its log once every member holds it, and it ends in an entry of its own term. (An acknowledgement
 * of less than the whole log is as good as one that came before the log grew.)
 */
#define SET(a) members[EPOCH(promised[a])]
#ifdef QUORUM_OF_TWO
#define COMPLETE(a) (SET(a) == BIT(a) || ((acked[a] & SET(a)) != 0))
#else
#define COMPLETE(a) (((acked[a] | BIT(a)) & SET(a)) == SET(a))
#endif

#ifdef COMMIT_OLD_TERM
#define OWN_TERM(a) true
#else
#define OWN_TERM(a) (AT(a, length[a] - 1) == promised[a])
#endif

#define CAN_ADVANCE(a) (UP(a) && leads[a] && COMPLETE(a) && commit[a] < length[a] && OWN_TERM(a))
inline advance(a) {
    commit[a] = length[a]; activated[a] = EPOCH(promised[a]);
    k = 0;
    do
    :: k < length[a] ->
        /* No two leaders commit differently. */
        assert(committed[k] == 0 || committed[k] == AT(a, k));
        if :: committed[k] == 0 -> committed[k] = AT(a, k); committedIn[k] = promised[a] :: else fi;
        k++
    :: else -> break
    od;
    k = 0
}

#ifdef SERVE_EARLY
#define SERVES(a) (leads[a] && commit[a] > 0 && AT(a, commit[a] - 1) == promised[a])
#else
#define SERVES(a) (leads[a] && commit[a] > 0 && AT(a, commit[a] - 1) == promised[a] && \
    ((knows[a] | BIT(a)) & SET(a)) == SET(a))
#endif

/* A survivor can prove from its own disk and the stored set that it holds every committed entry. */
#define RECOVERABLE ( \
    (UP(0) && HAS(members[newest], 0) && PROVEN(0)) || (UP(1) && HAS(members[newest], 1) && PROVEN(1)) || \
    (UP(2) && HAS(members[newest], 2) && PROVEN(2)) || (UP(3) && HAS(members[newest], 3) && PROVEN(3)))

/* What is promised: one disk of the newest set stays that was seasoned, or any one once the epoch served a client. */
#define KEPT(i, gone) (!HAS(lost | BIT(gone), i) && HAS(members[newest], i) && \
    (HAS(seasoned[newest], i) || served == newest))

/* Each step of the shard below is one guard and one effect. */

/* At first all members are alike: without loss of generality 0 is the first to campaign. */
#define CAN_CAMPAIGN(i) (UP(i) && MEMBER(i) && (i == 0 || config[i] > 1 || promised[i] > 0) && (EPOCH(promised[i]) < config[i] || ROUND(promised[i]) < ROUNDS))
inline campaign(i) {
    step_down(i);
    if
    :: EPOCH(promised[i]) < config[i] -> promised[i] = TERM(config[i], 1)
    :: else -> promised[i]++
    fi;
    votes[i] = BIT(i)
}

#ifdef NO_EPOCH_CHECK
#define SAME_EPOCH(i, j) true
#else
#define SAME_EPOCH(i, j) (config[j] <= config[i])
#endif
#define CAN_VOTE(i, j) (UP(i) && UP(j) && votes[i] != 0 && SAME_EPOCH(i, j) && HAS(members[config[i]], j) && \
    NEWER(promised[i], promised[j]) && UP_TO_DATE(i, j))
inline vote(i, j) {
    adopt(j, config[i]);
    step_down(j); promised[j] = promised[i];
    votes[i] = votes[i] | BIT(j)
}

#define CAN_LEAD(i) (UP(i) && votes[i] != 0 && votes[i] == SET(i) && length[i] < LENGTH)
inline lead(i) {
    leads[i] = true; votes[i] = 0;
    k = 0;
    do
    :: k < LENGTH ->
        /* A new leader holds everything that was committed in earlier terms. */
        assert(committed[k] == 0 || committedIn[k] > promised[i] || (k < length[i] && committed[k] == AT(i, k)));
        k++
    :: else -> break
    od;
    k = 0;
    AT(i, length[i]) = promised[i]; length[i]++
}

#define CAN_PROPOSE(i) (UP(i) && SERVES(i) && length[i] < LENGTH)
inline propose(i) { AT(i, length[i]) = promised[i]; length[i]++; acked[i] = 0 }

/* A command is acknowledged to a client. */
#define CAN_SERVE(i) (UP(i) && SERVES(i) && commit[i] == length[i] && served < EPOCH(promised[i]))
inline serve(i) { served = EPOCH(promised[i]) }

#if defined(NO_EPOCH_CHECK)
#define MAY_FOLLOW(i, j) NOT_OLDER(promised[i], promised[j])
#elif defined(BLANK_VOTES)
#define MAY_FOLLOW(i, j) (promised[j] <= promised[i] && config[j] <= EPOCH(promised[i]))
#else
/* A member follows no leader it gave no promise to. */
#define MAY_FOLLOW(i, j) (promised[j] <= promised[i] && config[j] <= EPOCH(promised[i]) && \
    (promised[j] == promised[i] || !HAS(SET(i), j)))
#endif
#define CAN_APPEND(i, j) (UP(i) && UP(j) && leads[i] && MAY_FOLLOW(i, j))
inline append(i, j) {
    adopt(j, EPOCH(promised[i]));
    promised[j] = promised[i]; votes[j] = 0; leads[j] = false;
    copy_log(i, j); learn_commit(i, j);
    acked[i] = acked[i] | BIT(j);
    if :: activated[j] == EPOCH(promised[i]) -> knows[i] = knows[i] | BIT(j) :: else fi
}

/* A proven member swaps in the next set. An answer that comes is a set learnt at once, a lost one a set learnt late. */
#define CAN_SWAP(i, next) (UP(i) && newest < EPOCHS && config[i] == newest && MEMBER(i) && PROVEN(i) && \
    (next) != members[newest] && HAS(next, i))
inline swap(i, next) {
    set = next;
    members[newest + 1] = set;
#ifdef SEASON_EARLY
    seasoned[newest + 1] = set;
#else
    seasoned[newest + 1] = (activated[i] == newest -> members[newest] : seasoned[newest]) & set;
#endif
    newest++;
    set = 0
}

#define CAN_LEARN(i) (UP(i) && config[i] < newest)

/*
 * A disk is lost; its node comes back as a stranger, which replica 3 stands for. Enough disks stay to keep the promise,
 * which the survivors must then be able to use.
 */
#define CAN_WIPE(i) (wipes < WIPES && UP(i) && (KEPT(0, i) || KEPT(1, i) || KEPT(2, i) || KEPT(3, i)))
inline wipe(i) {
    wipes++;
    step_down(i);
    config[i] = 1; promised[i] = 0; activated[i] = 0;
    k = 0;
    do :: k < length[i] -> AT(i, k) = 0; k++ :: else -> break od;
    length[i] = 0; k = 0;
#ifndef BLANK_VOTES
    lost = lost | BIT(i);
    assert(RECOVERABLE);
#endif
}

#define WITHOUT(j, n) (members[newest] & ~BIT(j) & ~BIT(n))
#define ADDITIONS(i) \
    :: d_step { CAN_SWAP(i, members[newest] | 8) -> swap(i, members[newest] | 8) }
#define REMOVAL(i, j, n) \
    :: d_step { CAN_SWAP(i, WITHOUT(j, n)) -> swap(i, WITHOUT(j, n)) }
#define SWAPS(i) ADDITIONS(i) REMOVAL(i, 0, 0) REMOVAL(i, 1, 1) REMOVAL(i, 2, 2) REMOVAL(i, 3, 3) \
    REMOVAL(i, 0, 1) REMOVAL(i, 0, 2) REMOVAL(i, 1, 2) REMOVAL(i, 0, 3) REMOVAL(i, 1, 3) REMOVAL(i, 2, 3) \
    :: d_step { CAN_SWAP(i, BIT(i)) -> swap(i, BIT(i)) }
#define ALONE(i) \
    :: d_step { CAN_CAMPAIGN(i) -> campaign(i) } \
    :: d_step { CAN_LEAD(i) -> lead(i) } \
    :: d_step { CAN_ADVANCE(i) -> advance(i) } \
    :: d_step { CAN_PROPOSE(i) -> propose(i) } \
    :: d_step { CAN_SERVE(i) -> serve(i) } \
    :: d_step { CAN_LEARN(i) -> adopt(i, newest) } \
    :: d_step { CAN_WIPE(i) -> wipe(i) } \
    SWAPS(i)
#define PAIR(i, j) \
    :: d_step { CAN_VOTE(i, j) -> vote(i, j) } \
    :: d_step { CAN_APPEND(i, j) -> append(i, j) }

init {
    d_step {
        members[1] = 7; seasoned[1] = 7;
        config[0] = 1; config[1] = 1; config[2] = 1; config[3] = 1;
    }
end:
    do
    ALONE(0) ALONE(1) ALONE(2) ALONE(3)
    PAIR(0, 1) PAIR(0, 2) PAIR(0, 3) PAIR(1, 0) PAIR(1, 2) PAIR(1, 3)
    PAIR(2, 0) PAIR(2, 1) PAIR(2, 3) PAIR(3, 0) PAIR(3, 1) PAIR(3, 2)
    od
}
