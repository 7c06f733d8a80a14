#include "conf-internal.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ALLOWED_SIZE 192
#define QUOTED_MAX 40 /* bytes of a wrong value that a message quotes */

/* True when a key has bounds. */
static bool
has_bounds(const struct conf_key *key)
{
    return key->min != 0 || key->max != 0;
}

/* True when a number, a length or a count is within a key's bounds. */
static bool
in_bounds(const struct conf_key *key, int64_t n)
{
    return !has_bounds(key) || (n >= key->min && n <= key->max);
}

/* Adds a mistake about the value at the reader's current path. */
static void
add_error(struct conf_reader *r, const struct conf_key *key, int line,
          const char *what)
{
    char allowed[ALLOWED_SIZE];

    conf_describe_allowed(key, allowed);
    Conf_Add(r->errors, line, r->path.data, allowed, "%s", what);
}

/* Adds a mistake about a value, with the first QUOTED_MAX bytes of it. */
static void
add_error_quoting(struct conf_reader *r, const struct conf_key *key,
                  const struct conf_text *text, const char *what)
{
    char message[ALLOWED_SIZE];

    if (text->len == 0) {
        add_error(r, key, text->line, "has no value");
        return;
    }
    snprintf(message, sizeof(message), "'%.*s' %s",
             (int)conf_utf8_prefix(text->data, QUOTED_MAX), text->data, what);
    add_error(r, key, text->line, message);
}

/* Parses a decimal number. Refuses a '+', a leading zero (which means octal in
 * YAML 1.1), trailing characters and overflow. */
static int
parse_int(const char *s, int64_t *out)
{
    const char *digits = s + (*s == '-');
    char *end;

    if (*digits < '0' || *digits > '9') {
        return ERR_INVALID;
    }
    if (*digits == '0' && digits[1] != '\0') {
        return ERR_INVALID;
    }
    errno = 0;
    *out = strtoll(s, &end, 10);
    return *end != '\0' || errno != 0 ? ERR_INVALID : ERR_OK;
}

/* Reads a number within its bounds. */
static void
read_int(struct conf_reader *r, const struct conf_key *key,
         const struct conf_text *text, void *at)
{
    int64_t n = 0;

    if (!text->plain || parse_int(text->data, &n) != ERR_OK) {
        add_error_quoting(r, key, text, "is not a whole number");
        return;
    }
    if (!in_bounds(key, n)) {
        add_error_quoting(r, key, text, "is out of range");
        return;
    }
    *(int64_t *)at = n;
}

/* Reads true or false. YAML's other spellings, such as yes, are refused. */
static void
read_bool(struct conf_reader *r, const struct conf_key *key,
          const struct conf_text *text, void *at)
{
    bool is_true = strcmp(text->data, "true") == 0;

    if (!text->plain || (!is_true && strcmp(text->data, "false") != 0)) {
        add_error_quoting(r, key, text, "is neither true nor false");
        return;
    }
    *(bool *)at = is_true;
}

/* Reads one of the key's words; the value is the word's index. */
static void
read_word(struct conf_reader *r, const struct conf_key *key,
          const struct conf_text *text, void *at)
{
    for (int64_t i = 0; key->words[i] != NULL; i++) {
        if (strcmp(key->words[i], text->data) == 0) {
            *(int64_t *)at = i;
            return;
        }
    }
    add_error_quoting(r, key, text, "is none of the words");
}

/* Reads a name of at most NAME_SIZE - 1 characters. */
static void
read_name(struct conf_reader *r, const struct conf_key *key,
          const struct conf_text *text, void *at)
{
    if (!Str_IsName(text->data)) {
        add_error_quoting(r, key, text, "is not a name");
        return;
    }
    Str_Copy(at, NAME_SIZE, text->data);
}

/* Reads a text, and checks its length and its format. Messages do not quote
 * it, as a text at the wrong key may be a secret. */
static void
read_string(struct conf_reader *r, const struct conf_key *key,
            const struct conf_text *text, void *at)
{
    if (!in_bounds(key, (int64_t)text->len)) {
        add_error(r, key, text->line,
                  text->len == 0 ? "is empty" : "has a wrong length");
        return;
    }
    if (key->format != NULL && !key->format->fits(text->data)) {
        add_error(r, key, text->line, "has a wrong form");
        return;
    }
    *(char **)at = Mem_Dup(text->data);
}

typedef void (*read_fn)(struct conf_reader *r, const struct conf_key *key,
                        const struct conf_text *text, void *at);

static const read_fn readers[] = {
    [CONF_NAME] = read_name, [CONF_STRING] = read_string,
    [CONF_INT] = read_int,   [CONF_BOOL] = read_bool,
    [CONF_WORD] = read_word,
};

/* Reads a scalar by the type of its key. A NUL is refused, as it would
 * truncate the text silently. */
void
conf_read_text(struct conf_reader *r, const struct conf_key *key,
               const struct conf_text *text, void *at)
{
    if (strlen(text->data) != text->len) {
        add_error(r, key, text->line, "holds a NUL character");
        return;
    }
    readers[key->type](r, key, text, at);
}

/* Writes the words of a key, separated by commas. */
static void
describe_words(const struct conf_key *key, char out[ALLOWED_SIZE])
{
    struct buf b CLEANUP(Buf_Free) = {0};

    Buf_AppendStr(&b, "one of ");
    for (int i = 0; key->words[i] != NULL; i++) {
        Buf_Printf(&b, "%s%s", i > 0 ? ", " : "", key->words[i]);
    }
    Str_Copy(out, ALLOWED_SIZE, b.data);
}

/* Describes the allowed values of a key, from its type, format and bounds. */
void
conf_describe_allowed(const struct conf_key *key, char out[ALLOWED_SIZE])
{
    static const struct {
        const char *what;
        const char *bounds; /* unit of min and max; NULL: no bounds */
    } text[] = {
        [CONF_NAME] = {"a name of 1..63 of A-Z a-z 0-9 . _ - that starts "
                       "with a letter or digit",
                       NULL},
        [CONF_STRING] = {"text", "bytes"},
        [CONF_INT] = {"a whole number", ""},
        [CONF_BOOL] = {"true or false", NULL},
        [CONF_MAP] = {"a map of keys", NULL},
        [CONF_LIST] = {"a list of maps", "items"},
        [CONF_STRINGS] = {"a list of texts", "items"},
    };

    if (key->type == CONF_WORD) {
        describe_words(key, out);
        return;
    }
    if (key->format != NULL) {
        snprintf(out, ALLOWED_SIZE, "%s%s",
                 key->type == CONF_STRINGS ? "a list, each " : "",
                 key->format->allowed);
        return;
    }
    if (text[key->type].bounds == NULL || !has_bounds(key)) {
        Str_Copy(out, ALLOWED_SIZE, text[key->type].what);
        return;
    }
    snprintf(out, ALLOWED_SIZE, "%s, %lld..%lld%s%s", text[key->type].what,
             (long long)key->min, (long long)key->max,
             *text[key->type].bounds ? " " : "", text[key->type].bounds);
}
