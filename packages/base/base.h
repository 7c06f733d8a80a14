/*
 * base: what every other package stands on.
 *
 * Errors are negative numbers (Err_Name gives the text). Ids are 128 random
 * bits. Bufs are growable bytes. Logs are one key=value line an event.
 * Counters register themselves and are rendered in the Prometheus text
 * format. Conf reads YAML by tables of keys and reports every mistake with
 * its line, its key, what is wrong and what is allowed.
 *
 * Only running out of memory and broken invariants stop the process (Fatal);
 * everything else is a value that the caller looks at.
 */
#ifndef BASE_H
#define BASE_H

#include <sys/types.h>

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CLEANUP(fn) __attribute__((cleanup(fn)))
#define PRINTFLIKE(f, a) __attribute__((format(printf, f, a)))
#define UNUSED __attribute__((unused))
#define COUNT_OF(a) (sizeof(a) / sizeof((a)[0]))

/* Static functions of a red-black tree, to be followed by a semicolon. The
 * library's own RB_GENERATE_STATIC asks for a macro that glibc lacks. */
#define TREE_STATIC(name, type, field, compare)                               \
    RB_PROTOTYPE_INTERNAL(name, type, field, compare, UNUSED static)          \
    RB_GENERATE_INTERNAL(name, type, field, compare, UNUSED static)           \
    struct name

/* ---- errors ------------------------------------------------------------ */

enum err {
    ERR_OK = 0,
    ERR_NOMEM = -1,       /* no memory, or a fixed table is full */
    ERR_INVALID = -2,     /* an argument or a document is wrong */
    ERR_NOTFOUND = -3,    /* no such thing */
    ERR_EXISTS = -4,      /* there already */
    ERR_CONFLICT = -5,    /* a condition of a write did not hold */
    ERR_TIMEOUT = -6,     /* no answer in time: may have taken effect */
    ERR_UNREACHABLE = -7, /* never sent: has not taken effect */
    ERR_CUT = -8,         /* answer broke off: may have taken effect */
    ERR_TOOBIG = -9,      /* over a limit of size */
    ERR_BUSY = -10,       /* full now, come back later */
    ERR_DENIED = -11,     /* not allowed */
    ERR_STALE = -12,      /* an older term, epoch, attempt or incarnation */
    ERR_IO = -13,         /* the system refused an operation */
    ERR_GONE = -14,       /* was here, has been dropped */
    ERR_UNKNOWN = -15,    /* the outcome can't be known */
    ERR_LAST = -15
};

const char *Err_Name(int err);

/* Ends the process: only for broken invariants and lack of memory. */
void Fatal(const char *fmt, ...) PRINTFLIKE(1, 2) __attribute__((noreturn));

/* As malloc, calloc, realloc and strdup, but never NULL. */
void *Mem_Alloc(size_t size);
void *Mem_Zero(size_t count, size_t size);
void *Mem_Grow(void *old, size_t size);
char *Mem_Dup(const char *s);
/* For CLEANUP(Mem_FreeP): frees what a local pointer points at. */
void Mem_FreeP(void *pointer_to_pointer);

/* Copies a string into a fixed array, cut where it is too long.
 * Returns ERR_OK, or ERR_TOOBIG when it was cut. */
int Str_Copy(char *dst, size_t size, const char *src);
/* True for 1..63 of [A-Za-z0-9._-], starting with a letter or digit. */
bool Str_IsName(const char *s);
#define NAME_SIZE 64 /* bytes of a name, the final NUL included */

/* ---- work -------------------------------------------------------------- */

/* Whom to serve first, requests and jobs alike. */
enum priority {
    PRIORITY_URGENT, /* previews and urgent work: somebody watches */
    PRIORITY_NORMAL,
    PRIORITY_BATCH, /* may wait for hours */
    PRIORITY_COUNT
};

/* ---- time -------------------------------------------------------------- */

/* Milliseconds of a clock that never goes back (not the time of day). */
int64_t Clock_NowMs(void);
/* Milliseconds since 1970, for people to read and for nothing else. */
int64_t Clock_WallMs(void);

/* ---- ids --------------------------------------------------------------- */

#define ID_BYTES 16
#define ID_HEX_SIZE (ID_BYTES * 2 + 1)

struct id {
    uint8_t b[ID_BYTES];
};

struct id Id_Random(void);
uint64_t Id_Random64(void); /* never 0 */
int Id_Compare(const struct id *a, const struct id *b);
/* Writes 32 hex digits and a NUL; returns out. */
const char *Id_Hex(const struct id *id, char out[ID_HEX_SIZE]);
/* Returns ERR_OK or ERR_INVALID. */
int Id_Parse(const char *hex, struct id *id);

/* ---- bytes ------------------------------------------------------------- */

/* Growable bytes; data is NUL-terminated beyond len once not NULL. */
struct buf {
    char *data;
    size_t len;
    size_t cap;
};

/* Makes room for so many bytes beyond len, and a NUL. */
void Buf_Reserve(struct buf *b, size_t more);
void Buf_Append(struct buf *b, const void *data, size_t len);
void Buf_AppendStr(struct buf *b, const char *s);
void Buf_Printf(struct buf *b, const char *fmt, ...) PRINTFLIKE(2, 3);
void Buf_Set(struct buf *b, const void *data, size_t len);
void Buf_Move(struct buf *dst, struct buf *src); /* src is left empty */
void Buf_Clear(struct buf *b);                   /* keeps the memory */
void Buf_Free(struct buf *b);                    /* fit for CLEANUP */

/* Reads a whole file. ERR_OK, ERR_NOTFOUND, ERR_TOOBIG (over max), ERR_IO. */
int File_Read(const char *path, size_t max, struct buf *out);

/* ---- hashes and secrets ------------------------------------------------ */

uint64_t Hash_Bytes(const void *data, size_t len, uint64_t seed); /* xxh3 */
uint64_t Hash_Str(const char *s, uint64_t seed);
#define DIGEST_HEX_SIZE 65
/* Content hash (BLAKE2b-256) in hex; returns out. */
const char *Digest_Hex(const void *data, size_t len,
                       char out[DIGEST_HEX_SIZE]);
/* Equality in constant time for strings of equal length. */
bool Secret_Equal(const char *a, const char *b);

/* ---- log --------------------------------------------------------------- */

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

struct log_kv {
    const char *key;
    const char *text; /* or NULL: number holds the value */
    int64_t number;
};

/* A pair with a text; NULL is an empty one. */
static inline struct log_kv
KV(const char *key, const char *text) {
    struct log_kv kv = {key, text != NULL ? text : "", 0};

    return kv;
}

#define KV_INT(k, n) ((struct log_kv){(k), NULL, (int64_t)(n)})

/* Lowest level that is written; the default is LOG_INFO. */
void
Log_SetLevel(enum log_level level);
/* Name put on every line as proc=. */
void Log_SetProcess(const char *name);
/* Lets an event have so many lines within a second instead of 20; event is
 * kept. ERR_OK, or ERR_NOMEM when 16 have one already. */
int Log_SetBudget(const char *event, int lines);
/* One line on stderr. A line of the same event and level that comes more
 * than 20 times within a second is held back and counted; the count stands
 * on the event's next line as repeated=. Errors are never held back. */
void Log_Event(enum log_level level, const char *event,
               const struct log_kv *kv, size_t n);

#define LOG_AT(level, event, ...)                                             \
    Log_Event((level), (event), (const struct log_kv[]){__VA_ARGS__},         \
              sizeof((const struct log_kv[]){__VA_ARGS__}) /                  \
                  sizeof(struct log_kv))
#define LOG_D(event, ...) LOG_AT(LOG_DEBUG, event, __VA_ARGS__)
#define LOG_I(event, ...) LOG_AT(LOG_INFO, event, __VA_ARGS__)
#define LOG_W(event, ...) LOG_AT(LOG_WARN, event, __VA_ARGS__)
#define LOG_E(event, ...) LOG_AT(LOG_ERROR, event, __VA_ARGS__)

/* ---- counters ---------------------------------------------------------- */

#define COUNTER_BUCKETS 16

enum counter_kind { COUNTER_TOTAL, COUNTER_GAUGE, COUNTER_LATENCY };

/* A counter, static in the module that counts; it registers itself at its
 * first use. labels is the inside of the braces, or NULL. Latency counters
 * take milliseconds, in buckets 1, 2, 4, ... 16384, +Inf. */
struct counter {
    const char *name;
    const char *help;
    const char *labels;
    enum counter_kind kind;
    int64_t value; /* total, gauge, or sum of milliseconds */
    int64_t count; /* observations */
    int64_t bucket[COUNTER_BUCKETS];
    bool registered;
    SLIST_ENTRY(counter) entry;
};

void Counter_Add(struct counter *c, int64_t n);
void Counter_Set(struct counter *c, int64_t n);
void Counter_Observe(struct counter *c, int64_t ms);
void Counter_Render(struct buf *out);

/* ---- input of others -----------------------------------------------------
 */

/* Whose word it was. */
enum unreadable {
    UNREADABLE_REPORT,  /* a worker of itself */
    UNREADABLE_RUNS,    /* a worker of its runs */
    UNREADABLE_ROW,     /* a row of our own table */
    UNREADABLE_STORE,   /* the store's form of a row */
    UNREADABLE_CONFIG,  /* an operator */
    UNREADABLE_MESSAGE, /* another process of ours */
    UNREADABLE_ADVICE,  /* the adviser */
    UNREADABLE_SOURCES
};

struct json_t;

/* Reads a whole number from 0 to most. ERR_OK, or ERR_INVALID for another one,
 * another type, or NULL; out is then left as it was. */
int Json_Whole(const struct json_t *value, int64_t most, int64_t *out);

/* Notes that something was left out as it can't be read: name says which
 * (a key, a lifetime, a task), why what is wrong with it. */
void Unreadable(enum unreadable source, const char *name, const char *why);

/* ---- settings ---------------------------------------------------------- */

/* One mistake in a document; line is counted from 1, 0 when unknown. */
struct conf_error {
    int line;
    char key[128];     /* path, as services[2].slots */
    char what[192];    /* what is wrong */
    char allowed[192]; /* what is allowed */
};

#define CONF_ERRORS_MAX 64

struct conf_errors {
    struct conf_error at[CONF_ERRORS_MAX];
    int count; /* kept; dropped ones are counted in more */
    int more;
};

enum conf_type {
    CONF_NAME,   /* char[NAME_SIZE], as Str_IsName */
    CONF_STRING, /* char *, owned; min and max bound its length */
    CONF_INT,    /* int64_t within min..max */
    CONF_BOOL,   /* bool */
    CONF_WORD,   /* int64_t: index into words */
    CONF_MAP,    /* struct in place, by sub */
    CONF_LIST,   /* struct conf_list of structs of sub->size, by sub */
    CONF_STRINGS /* struct conf_list of char *, each of 1..1024 bytes */
};

struct conf_list {
    void *items;
    size_t count;
};

struct conf_table;

/* What a text must look like beyond its length. */
struct conf_format {
    const char *allowed; /* for messages, as "an IP address" */
    bool (*fits)(const char *text);
};

/* One key of a map, and where its value goes. */
struct conf_key {
    const char *name;
    enum conf_type type;
    size_t offset;
    bool required;
    int64_t min; /* of a number, a length or a count; both 0: no bound */
    int64_t max;
    /* Value when the key is missing, as it would stand in the document. A
     * map whose own keys have fallbacks takes "{}" here; without it a
     * missing map, like any missing value, is left zeroed. */
    const char *fallback;
    const char *const *words; /* ends with NULL */
    const struct conf_table *sub;
    const struct conf_format *format; /* of CONF_STRING and CONF_STRINGS */
};

/* A map: its keys and the size of the struct that it fills. When line_at is
 * not 0, an int at that offset gets the line where the map starts. */
struct conf_table {
    const char *name;
    size_t size;
    const struct conf_key *keys;
    size_t count;
    size_t line_at;
};

/* Fills out (zeroed first) from YAML, of which JSON is a part. Every mistake
 * goes to errors: syntax, unknown and doubled keys, missing ones, types,
 * ranges. Anchors, aliases, tags and second documents are refused; at most
 * 4 MiB, 32 levels and 200,000 values. Returns ERR_OK or ERR_INVALID; out is
 * to be freed in both cases. */
int Conf_Parse(const char *text, size_t len, const struct conf_table *table,
               void *out, struct conf_errors *errors);
/* As Conf_Parse, of a file of at most 4 MiB. */
int Conf_Load(const char *path, const struct conf_table *table, void *out,
              struct conf_errors *errors);
void Conf_Free(const struct conf_table *table, void *out);
/* Adds a mistake found by a check of the caller's own. */
void Conf_Add(struct conf_errors *errors, int line, const char *key,
              const char *allowed, const char *what, ...) PRINTFLIKE(5, 6);
/* Writes "file:line: key: what (allowed: ...)", a line each. */
void Conf_Render(const struct conf_errors *errors, const char *file,
                 struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
