#include "agent-parts.h"

#include <stdlib.h>
#include <string.h>

#define UNRESPONSIVE_PULSES 2 /* unanswered: another renews in its place */

static struct counter pulses_total = {"parsleyfall_agent_pulses_total",
                                      "Heartbeats of gangs sent.", NULL,
                                      COUNTER_TOTAL};

/* Finds a renewer by the address of its link. */
static struct renewer *
find(struct renewer_list *renewers, const char *address)
{
    struct renewer *r;

    TAILQ_FOREACH (r, renewers, link) {
        if (strcmp(r->entry.address, address) == 0) {
            return r;
        }
    }
    return NULL;
}

/* Takes in one entry that is heard. */
static void
take_entry(struct parts_task *t, const struct reachable_entry *entry)
{
    struct renewer *r = find(&t->renewers, entry->address);

    if (r == NULL) {
        r = Mem_Zero(1, sizeof(*r));
        TAILQ_INSERT_TAIL(&t->renewers, r, link);
    }
    if (r->entry.incarnation != entry->incarnation) {
        r->unanswered = 0;
    }
    r->entry = *entry;
    r->listed = true;
}

/* Takes in which entries are heard. */
void
PartsPulse_SetReachable(struct parts_task *t,
                        const struct reachable_note *note)
{
    const struct reachable_entry *reachable = note->entries.items;
    struct renewer *r, *next;
    size_t i;

    TAILQ_FOREACH (r, &t->renewers, link) {
        r->listed = false;
    }
    for (i = 0; i < note->entries.count; i++) {
        take_entry(t, &reachable[i]);
    }
    TAILQ_FOREACH_SAFE (r, &t->renewers, link, next) {
        if (!r->listed) {
            TAILQ_REMOVE(&t->renewers, r, link);
            free(r);
        }
    }
}

/* Weight of an entry for a job. By name, as an entry has other addresses for
 * other agents. */
static uint64_t
weight(const struct renewer *r, const struct id *job)
{
    return Hash_Bytes(job->b, sizeof(job->b), Hash_Str(r->entry.name, 0));
}

/* Chooses by the highest weight, so that agents that hear the same entries
 * choose the same one without a word, and the loss of an entry moves only its
 * own gangs. Those that don't answer are left out while any other does. */
struct renewer *
PartsPulse_Choose(struct renewer_list *renewers, const struct id *job)
{
    struct renewer *r, *best = NULL;

    TAILQ_FOREACH (r, renewers, link) {
        bool unresponsive = r->unanswered >= UNRESPONSIVE_PULSES;
        bool best_unresponsive =
            best != NULL && best->unanswered >= UNRESPONSIVE_PULSES;

        if (best == NULL || (best_unresponsive && !unresponsive) ||
            (best_unresponsive == unresponsive &&
             weight(r, job) > weight(best, job))) {
            best = r;
        }
    }
    return best;
}

/* True for a part that counts as a member of its gang that is there. One that
 * has done its work well counts until its owner has fenced it: members end at
 * different moments, and without its pulses the renewer would take the gang
 * for broken and let the leases of those run out that still work. */
static bool
counts_as_member(const struct part *part)
{
    return Parts_IsWorking(part) ||
           (part->state == PART_DONE && part->members != 1);
}

/* Adds the parts that a renewer is to keep alive. */
static void
add_members(struct parts_task *t, const struct renewer *r,
            struct wire_pulse *pulse)
{
    const struct part *part;

    TAILQ_FOREACH (part, &t->parts.list, entry) {
        struct wire_working *w;

        if (!counts_as_member(part) ||
            PartsPulse_Choose(&t->renewers, &part->job) != r) {
            continue;
        }
        w = Wire_ListAdd(&pulse->working, sizeof(*w));
        w->job = part->job;
        w->attempt = part->attempt;
        w->term = part->term;
        w->members = part->members;
        w->checkpoint_ms = part->checkpoint_ms;
        w->usage_permille = part->usage_permille;
    }
}

/* Makes the pulse for one renewer. */
static struct wire_pulse *
make_pulse(struct parts_task *t, const struct renewer *r, int64_t now)
{
    struct wire_pulse *pulse = Wire_New(WIRE_PULSE);

    Str_Copy(pulse->agent, sizeof(pulse->agent), t->settings->name);
    pulse->incarnation = t->parts.incarnation;
    pulse->sent = now;
    pulse->renewer = r->entry.incarnation;
    pulse->stamp = r->stamp_incarnation == r->entry.incarnation ? r->stamp : 0;
    add_members(t, r, pulse);
    return pulse;
}

/* True when any part is to be told of. */
static bool
has_members(const struct parts_task *t)
{
    const struct part *part;

    TAILQ_FOREACH (part, &t->parts.list, entry) {
        if (counts_as_member(part)) {
            return true;
        }
    }
    return false;
}

/* Says one pulse to each renewer of working parts. A mute one hears an empty
 * pulse as long as parts work, so that it is found again when it answers. */
void
PartsPulse_Send(struct parts_task *t, int64_t now)
{
    bool works = has_members(t);
    struct renewer *r;

    TAILQ_FOREACH (r, &t->renewers, link) {
        struct wire_pulse *pulse = make_pulse(t, r, now);

        r->pulse_due = works && (pulse->working.count > 0 ||
                                 r->unanswered >= UNRESPONSIVE_PULSES);
        if (!r->pulse_due) {
            Wire_Free(&pulse->msg);
            continue;
        }
        Counter_Add(&pulses_total, 1);
        Agent_Send(t->task.kernel, r->entry.address, &pulse->msg);
    }
    /* Counted after all were chosen, so that one round sees one choice. */
    TAILQ_FOREACH (r, &t->renewers, link) {
        r->unanswered = r->pulse_due ? r->unanswered + 1 : 0;
    }
}

/* Takes the stamp of an answer. One from another incarnation than the link's
 * is of an entry that has been replaced since. */
bool
PartsPulse_HandleRenew(struct parts_task *t, const char *origin,
                       const struct wire_renew *m)
{
    struct renewer *r = find(&t->renewers, origin);

    if (r == NULL || m->renewer != r->entry.incarnation ||
        m->incarnation != t->parts.incarnation) {
        return false;
    }
    if (r->stamp_incarnation != m->renewer) {
        r->stamp_incarnation = m->renewer;
        r->stamp = m->stamp;
    }
    else if (m->stamp > r->stamp) {
        r->stamp = m->stamp;
    }
    r->unanswered = 0;
    return true;
}

/* Frees the renewers. */
void
PartsPulse_Free(struct parts_task *t)
{
    struct renewer *r, *next;

    TAILQ_FOREACH_SAFE (r, &t->renewers, link, next) {
        free(r);
    }
}
