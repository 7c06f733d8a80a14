/* A picture of saved logs: accelerators in use, waiting and evicted over
 * time, as SVG. It shows at a glance whether urgent jobs waited because the
 * workers were full, or beside accelerators that were free. */
#ifndef CLI_PICTURE_H
#define CLI_PICTURE_H

#include "base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What a change of the number of accelerators belongs to. */
enum picture_line {
    PICTURE_IN_USE,
    PICTURE_WAITING, /* first steps of jobs of which nothing has started */
    PICTURE_EVICTED, /* per second */
    PICTURE_LINES
};

struct picture_change {
    int64_t at_ms;
    enum picture_line line;
    int sign;                    /* 1: that many more; -1: fewer */
    const int64_t *accelerators; /* may be known only later in the logs */
};

struct picture {
    struct picture_change *changes;
    size_t count;
    size_t cap;
};

/* Adds a change; times are in milliseconds since 1970. Changes without a time
 * are ignored. accelerators is read by Picture_Render(). */
void Picture_Add(struct picture *p, int64_t at_ms, enum picture_line line,
                 int sign, const int64_t *accelerators);
/* Appends the picture as an SVG document. */
void Picture_Render(struct picture *p, struct buf *out);
void Picture_Clear(struct picture *p); /* can be used with CLEANUP */

#ifdef __cplusplus
}
#endif

#endif
