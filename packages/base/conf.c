#include "conf-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Length of the longest prefix of at most max bytes that does not end within a
 * UTF-8 character, as an incomplete sequence is not valid in JSON. */
size_t
conf_utf8_prefix(const char *s, size_t max)
{
    size_t n = strlen(s);

    if (n <= max) {
        return n;
    }
    n = max;
    while (n > 0 && ((unsigned char)s[n] & 0xc0) == 0x80) {
        n--;
    }
    return n;
}

/* Copies text of a document into an array, truncated between characters, with
 * control characters replaced so that it prints as one line. */
static void
copy_printable(char *dst, size_t size, const char *src)
{
    size_t len = conf_utf8_prefix(src, size - 1);

    for (size_t i = 0; i < len; i++) {
        dst[i] = (unsigned char)src[i] < 0x20 || src[i] == 0x7f ? '?' : src[i];
    }
    dst[len] = '\0';
}

/* Adds a mistake; when the list is full, it is only counted. */
void
Conf_Add(struct conf_errors *errors, int line, const char *key,
         const char *allowed, const char *what, ...)
{
    char message[2 * sizeof(errors->at[0].what)];
    struct conf_error *e;
    va_list ap;

    if (errors->count == CONF_ERRORS_MAX) {
        errors->more++;
        return;
    }
    va_start(ap, what);
    vsnprintf(message, sizeof(message), what, ap);
    va_end(ap);
    e = &errors->at[errors->count++];
    e->line = line;
    copy_printable(e->key, sizeof(e->key), key);
    copy_printable(e->what, sizeof(e->what), message);
    copy_printable(e->allowed, sizeof(e->allowed), allowed);
}

/* Appends the mistakes as text, one line each with file and line number. */
void
Conf_Render(const struct conf_errors *errors, const char *file,
            struct buf *out)
{
    for (int i = 0; i < errors->count; i++) {
        const struct conf_error *e = &errors->at[i];

        Buf_Printf(out, "%s:%d: %s%s%s", file, e->line, e->key,
                   *e->key ? ": " : "", e->what);
        if (*e->allowed) {
            Buf_Printf(out, " (allowed: %s)", e->allowed);
        }
        Buf_AppendStr(out, "\n");
    }
    if (errors->more > 0) {
        Buf_Printf(out, "%s: and %d more\n", file, errors->more);
    }
}

/* Reads the tree of a document whose syntax and limits were checked. */
static void
read_document(yaml_document_t *doc, const struct conf_table *table, void *out,
              struct conf_errors *errors)
{
    struct conf_reader r = {.doc = doc, .errors = errors};
    yaml_node_t *root = yaml_document_get_root_node(doc);

    Buf_AppendStr(&r.path, "");
    if (root != NULL && root->type != YAML_MAPPING_NODE) {
        Conf_Add(errors, (int)root->start_mark.line + 1, "", "a map of keys",
                 "the document is not a map");
    }
    else {
        conf_read_map(&r, table, root, out);
    }
    Buf_Free(&r.path);
}

/* Checks a document's syntax and limits first, then its content. */
int
Conf_Parse(const char *text, size_t len, const struct conf_table *table,
           void *out, struct conf_errors *errors)
{
    yaml_parser_t parser CLEANUP(yaml_parser_delete) = {0};
    yaml_document_t doc CLEANUP(yaml_document_delete) = {0};
    int before = errors->count + errors->more;

    memset(out, 0, table->size);
    if (len > CONF_BYTES_MAX) {
        Conf_Add(errors, 0, "", "at most 4 MiB", "the document is too big");
        return ERR_INVALID;
    }
    if (conf_scan(text, len, errors) != ERR_OK) {
        return ERR_INVALID;
    }
    if (!yaml_parser_initialize(&parser)) {
        Fatal("out of memory");
    }
    yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
    if (!yaml_parser_load(&parser, &doc)) {
        Conf_Add(errors, (int)parser.problem_mark.line + 1, "", "YAML",
                 "syntax: %s", parser.problem ? parser.problem : "");
        return ERR_INVALID;
    }
    read_document(&doc, table, out, errors);
    return errors->count + errors->more == before ? ERR_OK : ERR_INVALID;
}

/* Reads a file and parses it. */
int
Conf_Load(const char *path, const struct conf_table *table, void *out,
          struct conf_errors *errors)
{
    struct buf text CLEANUP(Buf_Free) = {0};
    int rc = File_Read(path, CONF_BYTES_MAX, &text);

    if (rc != ERR_OK) {
        memset(out, 0, table->size);
        Conf_Add(errors, 0, "", "a readable file of at most 4 MiB",
                 "the file can't be read: %s", Err_Name(rc));
        return ERR_INVALID;
    }
    return Conf_Parse(text.data ? text.data : "", text.len, table, out,
                      errors);
}

/* Frees the items of a list and the memory they own; sub is NULL for a list of
 * texts. */
static void
free_list(struct conf_list *list, const struct conf_table *sub)
{
    for (size_t i = 0; i < list->count; i++) {
        if (sub == NULL) {
            free(((char **)list->items)[i]);
        }
        else {
            Conf_Free(sub, (char *)list->items + i * sub->size);
        }
    }
    free(list->items);
    memset(list, 0, sizeof(*list));
}

/* Frees the memory that the value of a key owns. */
static void
free_value(const struct conf_key *key, void *at)
{
    switch (key->type) {
    case CONF_STRING:
        Mem_FreeP(at);
        *(char **)at = NULL;
        return;
    case CONF_MAP:
        Conf_Free(key->sub, at);
        return;
    case CONF_LIST:
        free_list(at, key->sub);
        return;
    case CONF_STRINGS:
        free_list(at, NULL);
        return;
    default:
        return;
    }
}

/* Frees the memory that a filled struct owns, but not the struct itself. */
void
Conf_Free(const struct conf_table *table, void *out)
{
    for (size_t i = 0; i < table->count; i++) {
        free_value(&table->keys[i], (char *)out + table->keys[i].offset);
    }
}
