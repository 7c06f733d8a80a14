#include "config-internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static json_t *map_json(const struct conf_table *table, const void *data);

/* True when a key has a value: only names and strings may be absent. */
bool
config_has_value(const struct conf_key *key, const void *at)
{
    switch (key->type) {
    case CONF_NAME:
        return *(const char *)at != '\0';
    case CONF_STRING:
        return *(char *const *)at != NULL;
    default:
        return true;
    }
}

/* Converts a list of maps to JSON. */
static json_t *
maps_json(const struct conf_table *table, const struct conf_list *list)
{
    json_t *array = json_array();

    for (size_t i = 0; i < list->count; i++) {
        json_array_append_new(
            array,
            map_json(table, (const char *)list->items + i * table->size));
    }
    return array;
}

/* Converts a list of strings to JSON. */
static json_t *
texts_json(const struct conf_list *list)
{
    json_t *array = json_array();

    for (size_t i = 0; i < list->count; i++) {
        json_array_append_new(array,
                              json_string(*CONFIG_AT(*list, char *, i)));
    }
    return array;
}

/* Converts a value to JSON, by its type. */
static json_t *
value_json(const struct conf_key *key, const void *at)
{
    switch (key->type) {
    case CONF_NAME:
        return json_string(at);
    case CONF_STRING:
        return json_string(*(char *const *)at);
    case CONF_INT:
        return json_integer(*(const int64_t *)at);
    case CONF_BOOL:
        return json_boolean(*(const bool *)at);
    case CONF_WORD:
        return json_string(key->words[*(const int64_t *)at]);
    case CONF_MAP:
        return map_json(key->sub, at);
    case CONF_LIST:
        return maps_json(key->sub, at);
    default:
        return texts_json(at);
    }
}

/* Converts a map to JSON, without the keys that have no value. */
static json_t *
map_json(const struct conf_table *table, const void *data)
{
    json_t *object = json_object();
    const void *at;

    for (size_t i = 0; i < table->count; i++) {
        at = (const char *)data + table->keys[i].offset;
        if (config_has_value(&table->keys[i], at)) {
            json_object_set_new(object, table->keys[i].name,
                                value_json(&table->keys[i], at));
        }
    }
    return object;
}

/* Appends the text of a JSON value and frees the value. */
static void
append_json(json_t *value, struct buf *out)
{
    char *text = json_dumps(value, JSON_INDENT(2));

    if (text == NULL) {
        Fatal("can't serialise as JSON");
    }
    Buf_AppendStr(out, text);
    Buf_AppendStr(out, "\n");
    free(text);
    json_decref(value);
}

/* Writes a document as JSON. */
void
Config_RenderJson(const struct config *c, struct buf *out)
{
    append_json(map_json(&config_document_table, c), out);
}

/* Writes mistakes as JSON, for the response to a refused document. */
void
Config_RenderErrors(const struct conf_errors *errors, struct buf *out)
{
    json_t *list = json_array();
    const struct conf_error *e;

    for (int i = 0; i < errors->count; i++) {
        e = &errors->at[i];
        json_array_append_new(list, json_pack("{s:i,s:s,s:s,s:s}", "line",
                                              e->line, "key", e->key, "what",
                                              e->what, "allowed", e->allowed));
    }
    append_json(json_pack("{s:o,s:i}", "errors", list, "more", errors->more),
                out);
}

/* Writes a comment for each class whose setting is a risk. */
static void
append_risks(const struct config *c, struct buf *out)
{
    const struct config_class *k;

    for (size_t i = 0; i < c->classes.count; i++) {
        k = CONFIG_AT(c->classes, struct config_class, i);
        if (k->keyed_when_table_down == KEYED_SERVE) {
            Buf_Printf(out,
                       "# Risk: class %s serves keyed requests while the "
                       "table service is down.\n# The same key sent to "
                       "another entry may then run a second time.\n",
                       k->name);
        }
    }
}

/* Writes a document as canonical YAML. */
void
Config_Render(const struct config *c, struct buf *out)
{
    append_risks(c, out);
    config_render_yaml(&config_document_table, c, out);
}
