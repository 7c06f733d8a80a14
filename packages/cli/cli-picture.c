#include "cli-picture.h"

#include <stdio.h>
#include <stdlib.h>

#define WIDTH 900 /* of the document, in pixels */
#define HEIGHT 320
#define LEFT 60 /* margins around the plot */
#define RIGHT 20
#define TOP 40
#define BOTTOM 40
/* One column for every two pixels of the plot. */
#define COLUMNS ((WIDTH - LEFT - RIGHT) / 2)
#define LEGEND_STEP 240
#define MARKS 4 /* labelled values of the vertical axis above 0 */

static const struct {
    const char *label;
    const char *colour;
} lines[PICTURE_LINES] = {
    [PICTURE_IN_USE] = {"accelerators in use", "#1b6ca8"},
    [PICTURE_WAITING] = {"waiting for a first start", "#d98200"},
    [PICTURE_EVICTED] = {"evicted per second", "#b3202c"},
};

/* The values of the lines in each column, and the scale of the axes. */
struct plot {
    int64_t from_ms;
    int64_t to_ms;
    int64_t highest;
    int64_t values[PICTURE_LINES][COLUMNS];
};

/* Adds a change. */
void
Picture_Add(struct picture *p, int64_t at_ms, enum picture_line line, int sign,
            const int64_t *accelerators)
{
    if (at_ms <= 0) {
        return;
    }
    if (p->count == p->cap) {
        p->cap = p->cap ? p->cap * 2 : 1024;
        p->changes = Mem_Grow(p->changes, p->cap * sizeof(*p->changes));
    }
    p->changes[p->count++] =
        (struct picture_change){at_ms, line, sign, accelerators};
}

/* Orders changes by time. */
static int
change_compare(const void *va, const void *vb)
{
    const struct picture_change *a = va, *b = vb;

    return a->at_ms < b->at_ms ? -1 : a->at_ms > b->at_ms;
}

/* Returns the column of a time. */
static int64_t
column_of(const struct plot *plot, int64_t at_ms)
{
    int64_t span = plot->to_ms - plot->from_ms;

    return span > 0 ? (at_ms - plot->from_ms) * (COLUMNS - 1) / span : 0;
}

/* Sets a line's value from the column of a time on. */
static void
set_from(struct plot *plot, enum picture_line line, int64_t at_ms,
         int64_t value)
{
    for (int64_t i = column_of(plot, at_ms); i < COLUMNS; i++) {
        plot->values[line][i] = value;
    }
}

/* Adds the evictions to the columns of the second after them, so that the
 * line shows a rate whatever the length of the log. */
static void
add_rate(struct plot *plot, int64_t at_ms, int64_t accelerators)
{
    int64_t last = column_of(plot, at_ms + 1000);

    for (int64_t i = column_of(plot, at_ms); i <= last && i < COLUMNS; i++) {
        plot->values[PICTURE_EVICTED][i] += accelerators;
    }
}

/* Computes the values of all columns. */
static void
compute(struct picture *p, struct plot *plot)
{
    int64_t sums[PICTURE_LINES] = {0};

    qsort(p->changes, p->count, sizeof(*p->changes), change_compare);
    plot->from_ms = p->count > 0 ? p->changes[0].at_ms : 0;
    plot->to_ms = p->count > 0 ? p->changes[p->count - 1].at_ms : 0;
    for (size_t i = 0; i < p->count; i++) {
        const struct picture_change *c = &p->changes[i];

        if (c->line == PICTURE_EVICTED) {
            add_rate(plot, c->at_ms, *c->accelerators);
            continue;
        }
        sums[c->line] += c->sign * *c->accelerators;
        set_from(plot, c->line, c->at_ms, sums[c->line]);
    }
    plot->highest = 1;
    for (size_t line = 0; line < PICTURE_LINES; line++) {
        for (size_t i = 0; i < COLUMNS; i++) {
            if (plot->values[line][i] > plot->highest) {
                plot->highest = plot->values[line][i];
            }
        }
    }
}

/* Returns the vertical position of a value. */
static int64_t
y_of(const struct plot *plot, int64_t value)
{
    value = value > 0 ? value : 0;
    return HEIGHT - BOTTOM - value * (HEIGHT - TOP - BOTTOM) / plot->highest;
}

/* Appends a text. */
static void
add_text(struct buf *out, int64_t x, int64_t y, const char *anchor,
         const char *text)
{
    Buf_Printf(out,
               "<text x=\"%lld\" y=\"%lld\" text-anchor=\"%s\">%s</text>\n",
               (long long)x, (long long)y, anchor, text);
}

/* Appends the axes with their labels. */
static void
add_axes(const struct plot *plot, struct buf *out)
{
    char label[32];

    for (int i = 0; i <= MARKS; i++) {
        int64_t value = plot->highest * i / MARKS;
        long long y = (long long)y_of(plot, value);

        Buf_Printf(out,
                   "<line x1=\"%d\" y1=\"%lld\" x2=\"%d\" y2=\"%lld\" "
                   "stroke=\"#ddd\"/>\n",
                   LEFT, y, WIDTH - RIGHT, y);
        snprintf(label, sizeof(label), "%lld", (long long)value);
        add_text(out, LEFT - 6, y + 4, "end", label);
    }
    add_text(out, LEFT, HEIGHT - BOTTOM + 18, "start", "0 s");
    snprintf(label, sizeof(label), "%.1f s",
             (double)(plot->to_ms - plot->from_ms) / 1000);
    add_text(out, WIDTH - RIGHT, HEIGHT - BOTTOM + 18, "end", label);
}

/* Appends one line with its entry in the legend. */
static void
add_line(const struct plot *plot, enum picture_line line, struct buf *out)
{
    Buf_Printf(out,
               "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" "
               "points=\"",
               lines[line].colour);
    for (int64_t i = 0; i < COLUMNS; i++) {
        Buf_Printf(out, "%lld,%lld ", (long long)(LEFT + 2 * i),
                   (long long)y_of(plot, plot->values[line][i]));
    }
    Buf_AppendStr(out, "\"/>\n");
    Buf_Printf(out, "<g fill=\"%s\">", lines[line].colour);
    add_text(out, LEFT + LEGEND_STEP * (int64_t)line, TOP - 16, "start",
             lines[line].label);
    Buf_AppendStr(out, "</g>\n");
}

/* Appends the picture as an SVG document. */
void
Picture_Render(struct picture *p, struct buf *out)
{
    struct plot *plot CLEANUP(Mem_FreeP) = Mem_Zero(1, sizeof(*plot));

    compute(p, plot);
    Buf_Printf(out,
               "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
               "height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
               "<rect width=\"100%%\" height=\"100%%\" fill=\"#fff\"/>\n",
               WIDTH, HEIGHT);
    add_axes(plot, out);
    for (size_t line = 0; line < PICTURE_LINES; line++) {
        add_line(plot, line, out);
    }
    Buf_AppendStr(out, "</svg>\n");
}

/* Frees the changes. */
void
Picture_Clear(struct picture *p)
{
    free(p->changes);
    *p = (struct picture){0};
}
