/*
 * A state of two keys in the platform's store that some nodes read and others follow through them (internal/changefeed,
 * internal/jobworker). Readers list the keys page by page, which is no snapshot, or take the changes since their revision. Each
 * node may ask any other for what it lacks; the answer may be old when it arrives, because the asker, the asked one or the way stood
 * still meanwhile. Whoever is at a revision must have every key as it was then, or newer, and no node's revision may go back. A key
 * that a later page of a list showed newer than the list's revision may: whoever uses it compares its revision with the state's.
 *
 * Seeded bugs (-D): GOES_BACK (an older whole state is taken over), LAST_PAGE (a list is said to be of the revision of its last
 * page), SKIPS (an answer names the revision of the store and not that of the changes in it).
 */
#ifndef WRITES
#define WRITES 4
#endif
#define NODES 3
#define NODE_READS(n) ((n) < 2)

byte revision = 1;           /* of the store; 1 is before the first write */
byte written[WRITES + 2];    /* which key a revision wrote, as 1 or 2 */
byte key1 = 1;               /* revision of each key's last write */
byte key2 = 1;

/* What each node has; a revision of 0 is nothing. */
byte has[NODES];
byte has1[NODES];
byte has2[NODES];

/* An answer on its way to each node. */
bool coming[NODES];
bool whole[NODES];
byte told[NODES];
byte told1[NODES];
byte told2[NODES];

/* A list under way: its first page was read. */
bool listing[NODES];
byte listed[NODES];
byte listed1[NODES];

/* The newest write of a key up to a revision. */
inline newest(key, upto, found) {
    d_step {
        found = 1;
        i = 2;
        do
        :: i <= upto -> if :: written[i] == key -> found = i :: else fi; i++
        :: else -> break
        od;
        i = 0
    }
}

/* Takes over a state of a revision; older ones are passed over. */
inline take(n, isWhole, at, first, second) {
    if
#ifndef GOES_BACK
    :: at < has[n] -> skip
    :: else ->
#else
    :: true ->
#endif
        assert(at >= has[n]);
        has[n] = at; has1[n] = first; has2[n] = second
    fi
}

/* No key is older than at the node's revision. */
inline check(n) {
    newest(1, has[n], x);
    assert(has[n] == 0 || has1[n] >= x);
    newest(2, has[n], x);
    assert(has[n] == 0 || has2[n] >= x);
    x = 0
}

proctype Node(byte n) {
    byte peer, x, i;
    do
    /* The first page. */
    :: atomic { NODE_READS(n) && !listing[n] && !coming[n] -> listing[n] = true; listed[n] = revision; listed1[n] = key1 }
    /* The second page. A change of the first key since comes again with the changes after the first page. */
    :: atomic { listing[n] ->
#ifdef LAST_PAGE
        take(n, true, revision, listed1[n], key2);
#else
        take(n, true, listed[n], listed1[n], key2);
#endif
        listing[n] = false; listed[n] = 0; listed1[n] = 0;
        check(n) }
    /* The changes since its revision. */
    :: atomic { NODE_READS(n) && !listing[n] && !coming[n] && has[n] > 0 && has[n] < revision ->
        take(n, false, revision, key1, key2);
        check(n) }
    /* Another node is asked: its answer is as of now and arrives later. */
    :: atomic { !coming[n] && !listing[n] ->
        if :: peer = (n + 1) % NODES :: peer = (n + 2) % NODES fi;
        if
        :: has[peer] > has[n] ->
            coming[n] = true; told1[n] = has1[peer]; told2[n] = has2[peer];
#ifdef SKIPS
            told[n] = revision
#else
            told[n] = has[peer]
#endif
        :: else -> skip
        fi;
        peer = 0 }
    :: atomic { coming[n] ->
        take(n, true, told[n], told1[n], told2[n]);
        coming[n] = false; told[n] = 0; told1[n] = 0; told2[n] = 0;
        check(n) }
    /* An answer that the asker gave up: it reads for itself meanwhile, and what comes late is another's. */
    :: atomic { coming[n] && NODE_READS(n) && has[n] > 0 && has[n] < revision ->
        take(n, false, revision, key1, key2);
        check(n) }
    od
}

active proctype Store() {
    do
    :: atomic { revision <= WRITES -> revision++; written[revision] = 1; key1 = revision }
    :: atomic { revision <= WRITES -> revision++; written[revision] = 2; key2 = revision }
    :: revision > WRITES -> break
    od
}

init { atomic { run Node(0); run Node(1); run Node(2) } }
