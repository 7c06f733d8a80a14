#include "admit-private.h"

#include <math.h>
#include <stdlib.h>

/* Results before a class's record outweighs what is declared. */
#define SAMPLES_MIN 3
/* Names come from callers: this bounds what they can make us keep. */
#define CLASSES_MAX 256
#define COST_MAX_MS 86400000
/* Gains of RFC 6298, for the same purpose: a mean and its deviation. */
#define GAIN_MEAN (1.0 / 8)
#define GAIN_DEV (1.0 / 4)

/* Order of the index. */
static int
compare(const struct admit_class *a, const struct admit_class *b)
{
    return (a->hash > b->hash) - (a->hash < b->hash);
}

TREE_STATIC(admit_class_index, admit_class, entry, compare);

/* Looks a class up. */
static struct admit_class *
find(struct admit_classes *classes, uint64_t hash)
{
    struct admit_class key = {.hash = hash};

    return RB_FIND(admit_class_index, &classes->index, &key);
}

/* Brings a cost into the range that sums of costs can bear. */
static int64_t
clamp_cost(int64_t ms)
{
    if (ms < 1) {
        return 1;
    }
    return ms > COST_MAX_MS ? COST_MAX_MS : ms;
}

/* The learned cost, or the declared one, or the fallback. */
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

/* Enters one service time. Beyond CLASSES_MAX new classes aren't learned and
 * keep to their hint. */
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
