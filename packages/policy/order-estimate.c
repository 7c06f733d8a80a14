#include "order-private.h"

#include <math.h>
#include <stdlib.h>

/* Samples needed before a class's averages are used, as a single job may be
 * untypical. */
#define SAMPLES_MIN 3
/* Limits the memory for classes, as callers choose their names. */
#define CLASSES_MAX 256
/* Gain of the averages, which cover about the last ten jobs. */
#define GAIN (1.0 / 8)

/* Orders the index by hash. */
static int
compare(const struct order_class *a, const struct order_class *b)
{
    return (a->hash > b->hash) - (a->hash < b->hash);
}

TREE_STATIC(order_classes, order_class, entry, compare);

/* Finds a class by its name, or returns NULL. */
static struct order_class *
find(struct order *o, const char *name)
{
    struct order_class key = {.hash = Hash_Str(name, 0)};

    return RB_FIND(order_classes, &o->classes, &key);
}

/* Finds or adds a class; NULL when there are CLASSES_MAX others. */
static struct order_class *
get(struct order *o, const char *name)
{
    struct order_class *c = find(o, name);

    if (c != NULL || o->class_count >= CLASSES_MAX) {
        return c;
    }
    c = Mem_Zero(1, sizeof(*c));
    c->hash = Hash_Str(name, 0);
    RB_INSERT(order_classes, &o->classes, c);
    o->class_count++;
    return c;
}

/* Computes the log of the run time by each predictor. Returns a bit set of the
 * predictors that have data. */
static unsigned
predict(const struct order_class *c, int64_t declared_ms,
        double out[ORDER_PREDICTOR_COUNT])
{
    unsigned available = 0;

    if (declared_ms > 0) {
        out[ORDER_DECLARED] = log((double)declared_ms);
        available |= 1u << ORDER_DECLARED;
    }
    if (c == NULL) {
        return available;
    }
    if (declared_ms > 0 && c->declared_samples >= SAMPLES_MIN) {
        out[ORDER_SCALED] = log((double)declared_ms) + c->scale_log;
        available |= 1u << ORDER_SCALED;
    }
    if (c->samples >= SAMPLES_MIN) {
        out[ORDER_TYPICAL] = c->typical_log;
        available |= 1u << ORDER_TYPICAL;
    }
    return available;
}

/* Estimates the run time by the predictor with the least error so far. */
int64_t
order_estimate(struct order *o, const char *class_name, int64_t declared_ms,
               enum order_predictor *predictor)
{
    const struct order_class *c = find(o, class_name);
    double predicted[ORDER_PREDICTOR_COUNT] = {0};
    unsigned available = predict(c, declared_ms, predicted);
    int i, best = ORDER_DEFAULT;

    for (i = 0; i < ORDER_DEFAULT; i++) {
        if ((available & (1u << i)) == 0) {
            continue;
        }
        if (best == ORDER_DEFAULT || c->error_log[i] < c->error_log[best]) {
            best = i;
        }
    }
    *predictor = (enum order_predictor)best;
    if (best == ORDER_DEFAULT) {
        return o->limits.default_run_ms;
    }
    return llround(fmax(1, exp(predicted[best])));
}

/* Updates a running mean, which is the plain mean for the first samples. */
static void
update_average(double *mean, double sample, int samples)
{
    double gain = fmax(GAIN, 1.0 / (samples + 1));

    *mean += (sample - *mean) * gain;
}

/* Learns a run time: first the error of each predictor, then the averages. */
void
order_learn(struct order *o, const char *class_name, int64_t declared_ms,
            int64_t ran_ms)
{
    struct order_class *c = get(o, class_name);
    double ran_log = log((double)(ran_ms > 0 ? ran_ms : 1));
    double predicted[ORDER_PREDICTOR_COUNT] = {0};
    unsigned available;
    int i;

    if (c == NULL) {
        return;
    }
    available = predict(c, declared_ms, predicted);
    for (i = 0; i < ORDER_DEFAULT; i++) {
        if ((available & (1u << i)) != 0) {
            update_average(&c->error_log[i], fabs(predicted[i] - ran_log),
                           c->samples);
        }
    }
    update_average(&c->typical_log, ran_log, c->samples++);
    if (declared_ms > 0) {
        update_average(&c->scale_log, ran_log - log((double)declared_ms),
                       c->declared_samples++);
    }
}

/* Frees all classes. */
void
order_classes_clear(struct order *o)
{
    struct order_class *c, *next;

    RB_FOREACH_SAFE (c, order_classes, &o->classes, next) {
        RB_REMOVE(order_classes, &o->classes, c);
        free(c);
    }
}
