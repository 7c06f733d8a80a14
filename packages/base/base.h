/*
 * base: utilities that every other package uses.
 *
 * Errors are negative numbers (Err_Name gives the text). Ids are 128 random
 * bits. A struct buf is a growable byte buffer. The log has one line of
 * key=value pairs per event. Counters register themselves and are rendered in
 * the Prometheus text format. Conf reads YAML by tables of keys and reports
 * every mistake with its line, its key, what is wrong and what is allowed.
 *
 * Only lack of memory and broken invariants stop the process (Fatal); every
 * other failure is a return value, which the caller checks.
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

/* Defines the static functions of a red-black tree; a semicolon must follow.
 * libbsd's own RB_GENERATE_STATIC needs a macro that glibc lacks. */
#define TREE_STATIC(name, type, field, compare)                               \
    RB_PROTOTYPE_INTERNAL(name, type, field, compare, UNUSED static)          \
    RB_GENERATE_INTERNAL(name, type, field, compare, UNUSED static)           \
    struct name

/* ---- errors ------------------------------------------------------------ */

enum err {
    ERR_OK = 0,
    ERR_NOMEM = -1,       /* no memory, or a fixed table is full */
    ERR_INVALID = -2,     /* an argument or a document is wrong */
    ERR_NOTFOUND = -3,    /* the object does not exist */
    ERR_EXISTS = -4,      /* the object exists already */
    ERR_CONFLICT = -5,    /* the condition of a write was not met */
    ERR_TIMEOUT = -6,     /* no response in time: may have taken effect */
    ERR_UNREACHABLE = -7, /* never sent: has not taken effect */
    ERR_CUT = -8,         /* truncated response: may have taken effect */
    ERR_TOOBIG = -9,      /* over a size limit */
    ERR_BUSY = -10,       /* full at present; retry later */
    ERR_DENIED = -11,     /* permission denied */
    ERR_STALE = -12,      /* an older term, epoch, attempt or incarnation */
    ERR_IO = -13,         /* a system call or a library failed */
    ERR_GONE = -14,       /* the object existed and was removed */
    ERR_UNKNOWN = -15,    /* the outcome can't be determined */
    ERR_LAST = -15
};

const char *Err_Name(int err);

/* Ends the process: only for broken invariants and lack of memory. */
void Fatal(const char *fmt, ...) PRINTFLIKE(1, 2) __attribute__((noreturn));

/* malloc, calloc, realloc and strdup that end the process by Fatal instead of
 * returning NULL; the caller frees the result by free(). */
void *Mem_Alloc(size_t size);
void *Mem_Zero(size_t count, size_t size);
void *Mem_Grow(void *old, size_t size);
char *Mem_Dup(const char *s);
/* Frees the memory that a local pointer points to, by CLEANUP(Mem_FreeP). */
void Mem_FreeP(void *pointer_to_pointer);

/* Copies a string into an array of size bytes, truncated where it is too long.
 * Returns ERR_OK, or ERR_TOOBIG when it was truncated. */
int Str_Copy(char *dst, size_t size, const char *src);
/* Copies a text of len bytes. One that doesn't fit, or that contains a NUL, is
 * replaced by its beginning and a hash of all of it, in size - 1 bytes: texts
 * that differ stay different, and it is valid UTF-8 if the text is. size must
 * be over STR_HASH_SIZE. */
#define STR_HASH_SIZE 34
void Str_Abbreviate(char *dst, size_t size, const char *text, size_t len);
/* True for 1 to 63 characters of [A-Za-z0-9._-], the first one a letter or
 * digit. */
bool Str_IsName(const char *s);
#define NAME_SIZE 64 /* bytes of a name, the final NUL included */

/* ---- work -------------------------------------------------------------- */

/* Priority of a request or a job; lower values are served first. */
enum priority {
    PRIORITY_URGENT, /* previews and urgent work: a person waits for it */
    PRIORITY_NORMAL,
    PRIORITY_BATCH, /* may wait for hours */
    PRIORITY_COUNT
};

/* ---- time -------------------------------------------------------------- */

/* Milliseconds of a monotonic clock of this machine, which also counts while
 * the machine is suspended. */
int64_t Clock_NowMs(void);
/* Milliseconds since 1970 by the machine's time of day, which may jump: only
 * for output to people, never for decisions. */
int64_t Clock_WallMs(void);

/* ---- ids --------------------------------------------------------------- */

#define ID_BYTES 16
#define ID_HEX_SIZE (ID_BYTES * 2 + 1)

struct id {
    uint8_t b[ID_BYTES];
};

struct id Id_Random(void);
uint64_t Id_Random64(void); /* never 0, which stands for none */
int Id_Compare(const struct id *a, const struct id *b);
/* Writes 32 hex digits and a NUL; returns out. */
const char *Id_Hex(const struct id *id, char out[ID_HEX_SIZE]);
/* Reads 32 hex digits. Returns ERR_OK or ERR_INVALID. */
int Id_Parse(const char *hex, struct id *id);

/* ---- bytes ------------------------------------------------------------- */

/* Growable byte buffer, zeroed at first. When data is not NULL, a NUL that len
 * does not count follows the content. */
struct buf {
    char *data;
    size_t len;
    size_t cap;
};

/* Makes room for `more` bytes beyond len, and a NUL. */
void Buf_Reserve(struct buf *b, size_t more);
void Buf_Append(struct buf *b, const void *data, size_t len);
void Buf_AppendStr(struct buf *b, const char *s);
void Buf_Printf(struct buf *b, const char *fmt, ...) PRINTFLIKE(2, 3);
void Buf_Set(struct buf *b, const void *data, size_t len);
void Buf_Move(struct buf *dst, struct buf *src); /* src is left empty */
void Buf_Clear(struct buf *b);                   /* keeps the memory */
void Buf_Free(struct buf *b);                    /* usable with CLEANUP */

/* Reads a whole file of at most max bytes. Returns ERR_OK, ERR_NOTFOUND,
 * ERR_TOOBIG or ERR_IO. */
int File_Read(const char *path, size_t max, struct buf *out);

/* ---- hashes and secrets ------------------------------------------------ */

uint64_t Hash_Bytes(const void *data, size_t len, uint64_t seed); /* xxh3 */
uint64_t Hash_Str(const char *s, uint64_t seed);
#define DIGEST_HEX_SIZE 65
/* Content hash (BLAKE2b-256) in hex; returns out. */
const char *Digest_Hex(const void *data, size_t len,
                       char out[DIGEST_HEX_SIZE]);
/* True when two strings are equal. The time taken does not depend on the
 * content of strings of equal length. */
bool Secret_Equal(const char *a, const char *b);

/* ---- log --------------------------------------------------------------- */

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

struct log_kv {
    const char *key;
    const char *text; /* the value; NULL: the value is number */
    int64_t number;
};

/* Makes a pair with a text as value; NULL becomes the empty text. */
static inline struct log_kv
KV(const char *key, const char *text) {
    struct log_kv kv = {key, text != NULL ? text : "", 0};

    return kv;
}

#define KV_INT(k, n) ((struct log_kv){(k), NULL, (int64_t)(n)})

/* Sets the lowest level that is written; the default is LOG_INFO. */
void
Log_SetLevel(enum log_level level);
/* Sets the name that every line has as proc=. */
void Log_SetProcess(const char *name);
/* Sets the number of lines that an event may write within a second, instead of
 * 20. The string event must stay valid. Returns ERR_OK, or ERR_NOMEM when 16
 * events have a budget already. */
int Log_SetBudget(const char *event, int lines);
/* Writes one line to stderr. Lines of the same event and level beyond the
 * event's budget within a second are suppressed and counted; the count is
 * given in the event's next line as repeated=. Errors are never suppressed. */
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

/* A metric, defined as a static variable in the module that counts; it
 * registers itself at its first use. labels is the text between the braces, or
 * NULL. Latencies are observed in milliseconds, with buckets of 1, 2, 4, ...
 * 16384, +Inf. */
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

/* ---- external input ---------------------------------------------------- */

/* Source of an unreadable input. */
enum unreadable {
    UNREADABLE_REPORT,  /* a worker's report about itself */
    UNREADABLE_RUNS,    /* a worker's report about its runs */
    UNREADABLE_ROW,     /* a row of the scheduler's own table */
    UNREADABLE_STORE,   /* the store's encoding of a row */
    UNREADABLE_CONFIG,  /* a configuration by an operator */
    UNREADABLE_MESSAGE, /* a message of another process of the system */
    UNREADABLE_ADVICE,  /* advice from the external adviser */
    UNREADABLE_SOURCES
};

struct json_t;

/* Reads a JSON integer from 0 to most. Returns ERR_OK, or ERR_INVALID for a
 * value out of range, another type, or NULL; out is then unchanged. */
int Json_Whole(const struct json_t *value, int64_t most, int64_t *out);

/* Parses a JSON document with parts of several writers. If the parser refuses
 * it as a whole, the parts that are the cause count as null: numbers out of
 * range, values nested too deep, strings that are no text. Strings may contain
 * NUL. Returns NULL for what is no JSON even so. */
struct json_t *Json_LoadParts(const char *text, size_t len);

/* Returns a JSON string, in which bytes that are no UTF-8 are replaced by
 * U+FFFD; never NULL. */
struct json_t *Json_Text(const char *text);

/* Highest counter (a term, an attempt, a version) that is taken from a row.
 * Real ones are far below, and there is room to count on: a row of another
 * writer with a higher one is invalid. */
#define JSON_COUNTER_MAX ((int64_t)1 << 48)

/* Counts and logs an input that is ignored because it can't be read. name
 * identifies it (a key, an incarnation, a task), why is the reason. */
void Unreadable(enum unreadable source, const char *name, const char *why);

/* ---- settings ---------------------------------------------------------- */

/* A mistake in a document. Lines count from 1; 0 means unknown. */
struct conf_error {
    int line;
    char key[128];     /* path, such as services[2].slots */
    char what[192];    /* what is wrong */
    char allowed[192]; /* what is allowed */
};

#define CONF_ERRORS_MAX 64

struct conf_errors {
    struct conf_error at[CONF_ERRORS_MAX];
    int count; /* entries of at in use */
    int more;  /* mistakes dropped because at was full */
};

enum conf_type {
    CONF_NAME,   /* char[NAME_SIZE], checked by Str_IsName */
    CONF_STRING, /* char * on the heap; min and max bound its length */
    CONF_INT,    /* int64_t within min..max */
    CONF_BOOL,   /* bool */
    CONF_WORD,   /* int64_t, an index into words */
    CONF_MAP,    /* embedded struct, described by sub */
    CONF_LIST,   /* struct conf_list of structs, described by sub */
    CONF_STRINGS /* struct conf_list of char *, each of 1..1024 bytes */
};

struct conf_list {
    void *items;
    size_t count;
};

struct conf_table;

/* Format of a text, checked in addition to its length. */
struct conf_format {
    const char *allowed; /* for messages, such as "an IP address" */
    bool (*fits)(const char *text);
};

/* A key of a map, and the struct field that its value is stored in. */
struct conf_key {
    const char *name;
    enum conf_type type;
    size_t offset;
    bool required;
    int64_t min; /* bound of a number, length or count; both 0: none */
    int64_t max;
    /* Value of a missing key, written as in a document. A map whose own keys
     * have fallbacks needs "{}" here. NULL: a missing value, also a map, stays
     * zeroed. */
    const char *fallback;
    const char *const *words; /* of CONF_WORD; ends with NULL */
    const struct conf_table *sub;
    const struct conf_format *format; /* of CONF_STRING and CONF_STRINGS */
};

/* Describes a map: its keys and the size of the struct that it fills. When
 * line_at is not 0, the int at that offset is set to the line where the map
 * starts. */
struct conf_table {
    const char *name;
    size_t size;
    const struct conf_key *keys;
    size_t count;
    size_t line_at;
};

/* Fills out (zeroed first) from YAML, which includes JSON. Every mistake is
 * added to errors: syntax, unknown, duplicate and missing keys, types, ranges.
 * Anchors, aliases, tags and second documents are refused, as is more than
 * 4 MiB, 32 levels or 200,000 values. Returns ERR_OK or ERR_INVALID; the
 * caller frees out by Conf_Free in both cases. */
int Conf_Parse(const char *text, size_t len, const struct conf_table *table,
               void *out, struct conf_errors *errors);
/* Reads a file of at most 4 MiB and parses it like Conf_Parse. */
int Conf_Load(const char *path, const struct conf_table *table, void *out,
              struct conf_errors *errors);
void Conf_Free(const struct conf_table *table, void *out);
/* Adds a mistake; what is a printf format. Also for the caller's own checks.
 */
void Conf_Add(struct conf_errors *errors, int line, const char *key,
              const char *allowed, const char *what, ...) PRINTFLIKE(5, 6);
/* Appends one line per mistake: "file:line: key: what (allowed: ...)". */
void Conf_Render(const struct conf_errors *errors, const char *file,
                 struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
