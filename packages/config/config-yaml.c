#include "config-internal.h"

#include <stdio.h>
#include <string.h>
#include <yaml.h>

#define FLOW_KEYS_MAX 3 /* scalars of a map written on one line */

static void emit_map(yaml_emitter_t *e, const struct conf_table *table,
                     const void *data);

/* Appends the emitter's output to a buffer; always succeeds. */
static int
append(void *out, unsigned char *data, size_t len)
{
    Buf_Append(out, data, len);
    return 1;
}

/* Passes an event to the emitter, which fails only on events that form no
 * tree.
 */
static void
emit(yaml_emitter_t *e, yaml_event_t *event)
{
    if (!yaml_emitter_emit(e, event)) {
        Fatal("can't serialise as YAML: %s", e->problem ? e->problem : "");
    }
}

/* Writes a scalar. */
static void
emit_scalar(yaml_emitter_t *e, const char *text, yaml_scalar_style_t style)
{
    yaml_event_t event;

    yaml_scalar_event_initialize(&event, NULL, NULL, (const yaml_char_t *)text,
                                 (int)strlen(text), 1, 1, style);
    emit(e, &event);
}

/* Chooses the style of a string. Strings such as 12, 1e3, no or null are
 * quoted, as other YAML parsers read them unquoted as other types. */
static yaml_scalar_style_t
text_style(const char *text)
{
    static const char *const reserved[] = {"true", "false", "yes", "no",  "on",
                                           "off",  "y",     "n",   "null"};
    bool letter =
        (*text >= 'a' && *text <= 'z') || (*text >= 'A' && *text <= 'Z');

    if (!letter) {
        return YAML_DOUBLE_QUOTED_SCALAR_STYLE;
    }
    for (size_t i = 0; i < COUNT_OF(reserved); i++) {
        if (strcasecmp(reserved[i], text) == 0) {
            return YAML_DOUBLE_QUOTED_SCALAR_STYLE;
        }
    }
    return YAML_ANY_SCALAR_STYLE;
}

/* Writes a string. */
static void
emit_text(yaml_emitter_t *e, const char *text)
{
    emit_scalar(e, text, text_style(text));
}

/* Writes a number. */
static void
emit_int(yaml_emitter_t *e, int64_t n)
{
    char text[32];

    snprintf(text, sizeof(text), "%lld", (long long)n);
    emit_scalar(e, text, YAML_PLAIN_SCALAR_STYLE);
}

/* Starts a list; an empty one is written as []. */
static void
start_list(yaml_emitter_t *e, size_t count)
{
    yaml_event_t event;

    yaml_sequence_start_event_initialize(
        &event, NULL, NULL, 1,
        count == 0 ? YAML_FLOW_SEQUENCE_STYLE : YAML_BLOCK_SEQUENCE_STYLE);
    emit(e, &event);
}

/* Ends a list. */
static void
end_list(yaml_emitter_t *e)
{
    yaml_event_t event;

    yaml_sequence_end_event_initialize(&event);
    emit(e, &event);
}

/* Writes a list of maps. */
static void
emit_maps(yaml_emitter_t *e, const struct conf_table *table,
          const struct conf_list *list)
{
    start_list(e, list->count);
    for (size_t i = 0; i < list->count; i++) {
        emit_map(e, table, (const char *)list->items + i * table->size);
    }
    end_list(e);
}

/* Writes a list of strings. */
static void
emit_texts(yaml_emitter_t *e, const struct conf_list *list)
{
    start_list(e, list->count);
    for (size_t i = 0; i < list->count; i++) {
        emit_text(e, *CONFIG_AT(*list, char *, i));
    }
    end_list(e);
}

/* Writes a value, by its type. */
static void
emit_value(yaml_emitter_t *e, const struct conf_key *key, const void *at)
{
    switch (key->type) {
    case CONF_NAME:
        emit_text(e, at);
        return;
    case CONF_STRING:
        emit_text(e, *(char *const *)at);
        return;
    case CONF_INT:
        emit_int(e, *(const int64_t *)at);
        return;
    case CONF_BOOL:
        emit_scalar(e, *(const bool *)at ? "true" : "false",
                    YAML_PLAIN_SCALAR_STYLE);
        return;
    case CONF_WORD:
        emit_scalar(e, key->words[*(const int64_t *)at],
                    YAML_PLAIN_SCALAR_STYLE);
        return;
    case CONF_MAP:
        emit_map(e, key->sub, at);
        return;
    case CONF_LIST:
        emit_maps(e, key->sub, at);
        return;
    case CONF_STRINGS:
        emit_texts(e, at);
        return;
    }
}

/* True for a map of a few scalars, which is written on one line. */
static bool
is_small(const struct conf_table *table)
{
    for (size_t i = 0; i < table->count; i++) {
        if (table->keys[i].type >= CONF_MAP) {
            return false;
        }
    }
    return table->count <= FLOW_KEYS_MAX;
}

/* Writes a map, without the keys that have no value. */
static void
emit_map(yaml_emitter_t *e, const struct conf_table *table, const void *data)
{
    yaml_event_t event;
    const void *at;

    yaml_mapping_start_event_initialize(
        &event, NULL, NULL, 1,
        is_small(table) ? YAML_FLOW_MAPPING_STYLE : YAML_BLOCK_MAPPING_STYLE);
    emit(e, &event);
    for (size_t i = 0; i < table->count; i++) {
        at = (const char *)data + table->keys[i].offset;
        if (!config_has_value(&table->keys[i], at)) {
            continue;
        }
        emit_scalar(e, table->keys[i].name, YAML_PLAIN_SCALAR_STYLE);
        emit_value(e, &table->keys[i], at);
    }
    yaml_mapping_end_event_initialize(&event);
    emit(e, &event);
}

/* Writes the events that start a stream with one document. */
static void
start_document(yaml_emitter_t *e)
{
    yaml_event_t event;

    yaml_stream_start_event_initialize(&event, YAML_UTF8_ENCODING);
    emit(e, &event);
    yaml_document_start_event_initialize(&event, NULL, NULL, NULL, 1);
    emit(e, &event);
}

/* Writes the events that end the document and the stream. */
static void
end_document(yaml_emitter_t *e)
{
    yaml_event_t event;

    yaml_document_end_event_initialize(&event, 1);
    emit(e, &event);
    yaml_stream_end_event_initialize(&event);
    emit(e, &event);
}

/* Writes a struct as one YAML document. */
void
config_render_yaml(const struct conf_table *table, const void *data,
                   struct buf *out)
{
    yaml_emitter_t emitter CLEANUP(yaml_emitter_delete);

    if (!yaml_emitter_initialize(&emitter)) {
        Fatal("out of memory");
    }
    yaml_emitter_set_output(&emitter, append, out);
    yaml_emitter_set_width(&emitter, -1);
    start_document(&emitter);
    emit_map(&emitter, table, data);
    end_document(&emitter);
}
