#include "agent-parts.h"

#include <stdlib.h>
#include <string.h>

/* Unanswered pulses after which an entry counts as unresponsive, and another
 * one is chosen as renewer. */
#define UNRESPONSIVE_PULSES 2

static struct counter pulses_total = {"parsleyfall_agent_pulses_total",
                                      "Heartbeats of gangs sent.", NULL,
                                      COUNTER_TOTAL};

/* Finds a renewer by the address of its link. */
static struct renewer *
find_renewer(struct renewer_list *renewers, const char *address)
{
    struct renewer *r;

    TAILQ_FOREACH (r, renewers, link) {
        if (strcmp(r->entry.address, address) == 0) {
            return r;
        }
    }
    return NULL;
}

/* Adds or updates the renewer of one reachable entry. */
static void
add_renewer(struct parts_task *t, const struct reachable_entry *entry)
{
    struct renewer *r = find_renewer(&t->renewers, entry->address);

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

/* Sets the renewers to the reachable entries. */
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
        add_renewer(t, &reachable[i]);
    }
    TAILQ_FOREACH_SAFE (r, &t->renewers, link, next) {
        if (!r->listed) {
            TAILQ_REMOVE(&t->renewers, r, link);
            free(r);
        }
    }
}

/* Weight of an entry for a job. The hash uses the name, as agents may reach
 * the same entry under different addresses. */
static uint64_t
weight(const struct renewer *r, const struct id *job)
{
    return Hash_Bytes(job->b, sizeof(job->b), Hash_Str(r->entry.name, 0));
}

/* Chooses by the highest weight (rendezvous hashing): agents with the same
 * reachable entries choose the same one without communication, and the loss of
 * an entry moves only the gangs that it renewed. Unresponsive entries are
 * skipped while any other one responds. */
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

/* True for a part that is reported as a present member of its gang. A part
 * that is done counts until its owner has fenced it: members end at different
 * times, and without this part in the pulses the renewer would consider the
 * gang broken and let the leases of its working members run out. */
static bool
counts_as_member(const struct part *part)
{
    return Parts_IsWorking(part) ||
           (part->state == PART_DONE && part->members != 1);
}

/* Adds the parts whose leases this renewer is to renew. */
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

/* Builds the pulse for one renewer. */
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

/* True when any part belongs in a pulse. */
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

/* Sends a pulse to each renewer of working parts. While parts work, an
 * unresponsive entry gets an empty pulse, so that its next reply is noticed.
 */
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
    /* The counts change only after all pulses were built, so that the choice
     * of renewers is the same for the whole round. */
    TAILQ_FOREACH (r, &t->renewers, link) {
        r->unanswered = r->pulse_due ? r->unanswered + 1 : 0;
    }
}

/* Records the stamp of a renewer's reply. A reply from another incarnation
 * than that of the link was sent by a process that has been replaced. */
bool
PartsPulse_HandleRenew(struct parts_task *t, const char *origin,
                       const struct wire_renew *m)
{
    struct renewer *r = find_renewer(&t->renewers, origin);

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
