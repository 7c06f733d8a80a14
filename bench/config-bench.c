/* Prints, as Markdown, what a configuration document costs by the number of
 * organisations in it: bytes, sections, time and memory to read it. */
#include "config.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define RUNS 51
#define CHANGES_A_DAY 3700.0
#define SECONDS_A_DAY 86400.0

/* Size of a topology. */
struct size {
    const char *name;
    int regions;
    int domains; /* in all */
    int workers; /* in all, three to a rack */
};

static const struct size today = {"today's", 1, 3, 11};
static const struct size planned = {"planned", 3, 10, 780};

/* What was measured of one document. */
struct row {
    int organisations;
    size_t yaml;
    size_t json;
    size_t sections;
    size_t index;
    size_t topology;
    size_t organisation; /* the largest of them */
    size_t memory;
    double parse_us;
    double render_us;
    double cut_us;
};

/* Processor time of this thread in microseconds. */
static double
cpu_us(void)
{
    struct timespec t;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* The lowest of RUNS times: what else runs on the machine only adds. */
static double
lowest(const double *times)
{
    double low = times[0];

    for (int i = 1; i < RUNS; i++) {
        low = times[i] < low ? times[i] : low;
    }
    return low;
}

/* Writes a failure domain with its share of the workers. */
static void
write_domain(const struct size *s, int d, struct buf *out)
{
    int first = s->workers * d / s->domains;
    int last = s->workers * (d + 1) / s->domains;

    Buf_Printf(out, "{name: domain-%d, racks: [", d);
    for (int w = first; w < last; w++) {
        if ((w - first) % 3 == 0) {
            Buf_Printf(out, "%s{name: rack-%d, workers: [",
                       w > first ? "]}, " : "", (w - first) / 3);
        }
        Buf_Printf(out, "{name: worker-%d, accelerators: 8}, ", w);
    }
    Buf_AppendStr(out, "]}]}, ");
}

/* Writes the topology. */
static void
write_topology(const struct size *s, struct buf *out)
{
    Buf_AppendStr(out, "topology: {regions: [");
    for (int r = 0; r < s->regions; r++) {
        Buf_Printf(out, "{name: region-%d, failure_domains: [", r);
        for (int d = s->domains * r / s->regions;
             d < s->domains * (r + 1) / s->regions; d++) {
            write_domain(s, d, out);
        }
        Buf_AppendStr(out, "]}, ");
    }
    Buf_AppendStr(out, "]}\n");
}

/* Writes organisations with two tokens and two guarantees each. */
static void
write_organisations(int count, struct buf *out)
{
    char seed[32], one[DIGEST_HEX_SIZE], two[DIGEST_HEX_SIZE];
    int n;

    Buf_AppendStr(out, "organisations:\n");
    for (int i = 0; i < count; i++) {
        n = snprintf(seed, sizeof(seed), "token-%d", i);
        Digest_Hex(seed, (size_t)n, one);
        Digest_Hex(seed, (size_t)n - 1, two);
        two[0] = "0123456789abcdef"[i % 16];
        two[1] = "0123456789abcdef"[i / 16];
        Buf_Printf(out,
                   "- {name: organisation-%d, weight: %d, token_hashes: "
                   "['%s', '%s'], guarantees: [{shape: 'accelerators: 1', "
                   "count: 1}, {shape: 'accelerators: 4', count: %d}]}\n",
                   i, 1 + i % 9, one, two, count > 11 ? 8 : 1);
    }
}

/* Writes classes, and a service for every eight organisations that each of
 * these may call. */
static void
write_work(int count, struct buf *out)
{
    Buf_AppendStr(out, "classes:\n");
    for (int i = 0; i < 12; i++) {
        Buf_Printf(out,
                   "- {name: class-%d, kind: %s, repeatable: true, "
                   "deadline_ms: 60000}\n",
                   i, i % 3 ? "request" : "job");
    }
    Buf_AppendStr(out, "services:\n");
    for (int i = 0; i < count; i += 8) {
        Buf_Printf(out,
                   "- {name: service-%d, classes: [class-1, class-2], "
                   "organisations: [",
                   i / 8);
        for (int j = i; j < i + 8 && j < count; j++) {
            Buf_Printf(out, "organisation-%d, ", j);
        }
        Buf_AppendStr(out, "]}\n");
    }
}

/* Reads a document and ends the program when it is wrong. */
static void
parse(const struct buf *text, struct config *c)
{
    static struct conf_errors errors;
    struct buf out = {0};

    if (Config_Parse(text->data, text->len, c, &errors) != ERR_OK) {
        Conf_Render(&errors, "bench", &out);
        Fatal("%s", out.data);
    }
}

/* Measures the sections. */
static void
measure_sections(const struct config *c, struct row *row)
{
    struct config_sections s CLEANUP(Config_FreeSections);
    struct buf index CLEANUP(Buf_Free) = {0};
    const struct config_section *section;

    Config_Sections(c, &s);
    row->sections = s.count;
    row->topology = s.at[1].text.len;
    for (size_t i = 3; i + 2 < s.count; i++) {
        section = &s.at[i];
        if (section->text.len > row->organisation) {
            row->organisation = section->text.len;
        }
    }
    Config_RenderIndex(&s, &index);
    row->index = index.len;
}

/* Takes the times of reading, writing and cutting. */
static void
measure_times(const struct buf *yaml, struct row *row)
{
    double parse_us[RUNS], render_us[RUNS], cut_us[RUNS], at;

    for (int i = 0; i < RUNS; i++) {
        struct config c CLEANUP(Config_Free);
        struct config_sections s CLEANUP(Config_FreeSections);
        struct buf out CLEANUP(Buf_Free) = {0};

        at = cpu_us();
        parse(yaml, &c);
        parse_us[i] = cpu_us() - at;
        at = cpu_us();
        Config_Render(&c, &out);
        render_us[i] = cpu_us() - at;
        at = cpu_us();
        Config_Sections(&c, &s);
        cut_us[i] = cpu_us() - at;
    }
    row->parse_us = lowest(parse_us);
    row->render_us = lowest(render_us);
    row->cut_us = lowest(cut_us);
}

/* Measures a document of one size. */
static struct row
measure(const struct size *size, int organisations)
{
    struct row row = {.organisations = organisations};
    struct buf text CLEANUP(Buf_Free) = {0};
    struct buf yaml CLEANUP(Buf_Free) = {0};
    struct buf json CLEANUP(Buf_Free) = {0};
    struct config c CLEANUP(Config_Free);
    size_t before;

    Buf_AppendStr(&text, "version: 1\n"
                         "weights: {completion: 50, fragmentation: 50}\n");
    write_topology(size, &text);
    write_organisations(organisations, &text);
    write_work(organisations, &text);
    parse(&text, &c); /* once before, so that freed chunks don't count */
    Config_Free(&c);
    malloc_trim(0);
    before = mallinfo2().uordblks;
    parse(&text, &c);
    row.memory = mallinfo2().uordblks - before;
    Config_Render(&c, &yaml);
    Config_RenderJson(&c, &json);
    row.yaml = yaml.len;
    row.json = json.len;
    measure_sections(&c, &row);
    measure_times(&yaml, &row);
    return row;
}

/* Prints the table of one topology. */
static void
print_table(const struct size *size, const int *organisations, size_t count)
{
    struct row r;

    printf("\n### The %s topology: %d workers, %d failure domains\n\n"
           "| organisations | YAML B | JSON B | sections | index B | topology "
           "B | largest organisation B | in memory B | parse us | render us | "
           "sections us | whole document B/s | index + one organisation B/s "
           "|\n"
           "|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n",
           size->name, size->workers, size->domains);
    for (size_t i = 0; i < count; i++) {
        r = measure(size, organisations[i]);
        printf("| %d | %zu | %zu | %zu | %zu | %zu | %zu | %zu | %.0f | %.0f "
               "| %.0f | %.0f | %.0f |\n",
               r.organisations, r.yaml, r.json, r.sections, r.index,
               r.topology, r.organisation, r.memory, r.parse_us, r.render_us,
               r.cut_us, (double)r.yaml * CHANGES_A_DAY / SECONDS_A_DAY,
               (double)(r.index + r.organisation) * CHANGES_A_DAY /
                   SECONDS_A_DAY);
    }
}

/* Prints both tables. */
int
main(void)
{
    static const int few[] = {4};
    static const int many[] = {4, 8, 16, 32, 64, 87};

    printf("Times are processor time, the lowest of %d runs. The last two "
           "columns are what a process fetches at %.0f changes a day.\n",
           RUNS, CHANGES_A_DAY);
    print_table(&today, few, COUNT_OF(few));
    print_table(&planned, many, COUNT_OF(many));
    return 0;
}
