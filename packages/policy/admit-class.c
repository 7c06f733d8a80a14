#include "admit-private.h"

#include <math.h>
#include <stdlib.h>

/* Results after which the learned cost replaces the declared one. */
#define SAMPLES_MIN 3
/* Limits the memory for classes, as callers choose their names. */
#define CLASSES_MAX 256
#define COST_MAX_MS 86400000
/* Gains of RFC 6298, which also estimates a mean and its deviation. */
#define GAIN_MEAN (1.0 / 8)
#define GAIN_DEV (1.0 / 4)

/* Orders the index by hash. */
static int
compare(const struct admit_class *a, const struct admit_class *b)
{
    return (a->hash > b->hash) - (a->hash < b->hash);
}

TREE_STATIC(admit_class_index, admit_class, entry, compare);

/* Finds a class by the hash of its name, or returns NULL. */
static struct admit_class *
find(struct admit_classes *classes, uint64_t hash)
{
    struct admit_class key = {.hash = hash};

    return RB_FIND(admit_class_index, &classes->index, &key);
}

/* Limits a cost so that sums of costs don't overflow. */
static int64_t
clamp_cost(int64_t ms)
{
    if (ms < 1) {
        return 1;
    }
    return ms > COST_MAX_MS ? COST_MAX_MS : ms;
}

/* Returns the learned cost of a class, the declared one, or the fallback. */
struct admit_cost
admit_class_cost(struct admit_classes *classes, uint64_t hash, int64_t hint_ms,
                 int64_t fallback_ms)
{
    const struct admit_class *c = find(classes, hash);
    int64_t declared = clamp_cost(hint_ms > 0 ? hint_ms : fallback_ms);

    if (c == NULL || c->samples < SAMPLES_MIN) {
        return (struct admit_cost){declared, declared};
    }
    return (struct admit_cost){clamp_cost(llround(c->mean_ms)),
                               clamp_cost(llround(c->mean_ms + c->dev_ms))};
}

/* Learns from one service time. Beyond CLASSES_MAX, new classes aren't learned
 * and keep their declared cost. */
void
admit_class_learn(struct admit_classes *classes, uint64_t hash,
                  int64_t service_ms)
{
    struct admit_class *c = find(classes, hash);
    double ms = (double)clamp_cost(service_ms);

    if (c == NULL) {
        if (classes->count >= CLASSES_MAX) {
            return;
        }
        c = Mem_Zero(1, sizeof(*c));
        c->hash = hash;
        c->mean_ms = ms;
        c->dev_ms = ms / 2;
        RB_INSERT(admit_class_index, &classes->index, c);
        classes->count++;
    }
    c->dev_ms += (fabs(ms - c->mean_ms) - c->dev_ms) * GAIN_DEV;
    c->mean_ms += (ms - c->mean_ms) * GAIN_MEAN;
    if (c->samples < SAMPLES_MIN) {
        c->samples++;
    }
}

/* Frees all classes. */
void
admit_class_clear(struct admit_classes *classes)
{
    struct admit_class *c, *next;

    RB_FOREACH_SAFE (c, admit_class_index, &classes->index, next) {
        RB_REMOVE(admit_class_index, &classes->index, c);
        free(c);
    }
    classes->count = 0;
}
