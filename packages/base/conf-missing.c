#include "conf-internal.h"

#include <string.h>

/* Reads the fallback of a map or a list, which is written in YAML. */
static void
read_fallback_tree(struct conf_reader *r, const struct conf_key *key, void *at)
{
    struct conf_reader sub = {.errors = r->errors};
    yaml_parser_t parser CLEANUP(yaml_parser_delete);
    yaml_document_t doc CLEANUP(yaml_document_delete);

    if (!yaml_parser_initialize(&parser)) {
        Fatal("out of memory");
    }
    yaml_parser_set_input_string(&parser, (const unsigned char *)key->fallback,
                                 strlen(key->fallback));
    if (!yaml_parser_load(&parser, &doc) ||
        yaml_document_get_root_node(&doc) == NULL) {
        Fatal("the fallback of key %s is not valid YAML", key->name);
    }
    sub.doc = &doc;
    Buf_AppendStr(&sub.path, r->path.data);
    conf_read_node(&sub, key, yaml_document_get_root_node(&doc), at);
    Buf_Free(&sub.path);
}

/* Reads the fallback of a missing key. A mistake in the fallback is a fault of
 * the program and ends the process. */
static void
read_fallback(struct conf_reader *r, const struct conf_key *key, void *at)
{
    struct conf_text text = {key->fallback, strlen(key->fallback), true, 0};
    int before = r->errors->count + r->errors->more;

    if (key->type == CONF_MAP || key->type == CONF_LIST ||
        key->type == CONF_STRINGS) {
        read_fallback_tree(r, key, at);
    }
    else {
        conf_read_text(r, key, &text, at);
    }
    if (r->errors->count + r->errors->more != before) {
        Fatal("the fallback of key %s violates its own table", key->name);
    }
}

/* Handles a missing key: an error when it is required, else its fallback. */
void
conf_read_missing(struct conf_reader *r, const struct conf_key *key, int line,
                  void *at)
{
    size_t before = conf_path_push(r, key->name);
    char allowed[192];

    if (key->required) {
        conf_describe_allowed(key, allowed);
        Conf_Add(r->errors, line, r->path.data, allowed, "is missing");
    }
    else if (key->fallback != NULL) {
        read_fallback(r, key, at);
    }
    conf_path_pop(r, before);
}
