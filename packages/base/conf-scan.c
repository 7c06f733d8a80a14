#include "conf-internal.h"

/* State of the pass over a document's parser events. */
struct scan {
    struct conf_errors *errors;
    int depth;
    int nodes;
    int documents;
};

/* Adds a mistake at the line of an event; returns ERR_INVALID. */
static int
add_scan_error(struct scan *s, const yaml_event_t *event, const char *allowed,
               const char *what)
{
    Conf_Add(s->errors, (int)event->start_mark.line + 1, "", allowed, "%s",
             what);
    return ERR_INVALID;
}

/* Refuses anchors and tags, which no configuration needs. */
static int
check_no_anchor_or_tag(struct scan *s, const yaml_event_t *event,
                       const yaml_char_t *anchor, const yaml_char_t *tag)
{
    if (anchor != NULL) {
        return add_scan_error(s, event, "values written out", "an anchor (&)");
    }
    if (tag != NULL) {
        return add_scan_error(s, event, "plain values", "a tag (!)");
    }
    return ERR_OK;
}

/* Counts a value and checks the limits of depth and number of values. */
static int
check_limits(struct scan *s, const yaml_event_t *event, int depth_change)
{
    s->depth += depth_change;
    s->nodes++;
    if (s->depth > CONF_DEPTH_MAX) {
        return add_scan_error(s, event, "32 levels", "nested too deeply");
    }
    if (s->nodes > CONF_NODES_MAX) {
        return add_scan_error(s, event, "200000 values", "too many values");
    }
    return ERR_OK;
}

/* Checks the start of a map or a list. */
static int
check_start(struct scan *s, const yaml_event_t *event,
            const yaml_char_t *anchor, const yaml_char_t *tag)
{
    int rc = check_no_anchor_or_tag(s, event, anchor, tag);

    return rc != ERR_OK ? rc : check_limits(s, event, 1);
}

/* Checks a scalar value. */
static int
check_scalar(struct scan *s, const yaml_event_t *event)
{
    int rc = check_no_anchor_or_tag(s, event, event->data.scalar.anchor,
                                    event->data.scalar.tag);

    return rc != ERR_OK ? rc : check_limits(s, event, 0);
}

/* Checks a parser event. Aliases are always refused: a few lines of nested
 * aliases expand to any size, and one that refers to itself never ends. */
static int
check_event(struct scan *s, const yaml_event_t *event)
{
    switch (event->type) {
    case YAML_DOCUMENT_START_EVENT:
        if (++s->documents > 1) {
            return add_scan_error(s, event, "one document",
                                  "a second document (---)");
        }
        return ERR_OK;
    case YAML_ALIAS_EVENT:
        return add_scan_error(s, event, "values written out", "an alias (*)");
    case YAML_SCALAR_EVENT:
        return check_scalar(s, event);
    case YAML_SEQUENCE_START_EVENT:
        return check_start(s, event, event->data.sequence_start.anchor,
                           event->data.sequence_start.tag);
    case YAML_MAPPING_START_EVENT:
        return check_start(s, event, event->data.mapping_start.anchor,
                           event->data.mapping_start.tag);
    case YAML_SEQUENCE_END_EVENT:
    case YAML_MAPPING_END_EVENT:
        s->depth--;
        return ERR_OK;
    default:
        return ERR_OK;
    }
}

/* Adds the parser's error message about the syntax; returns ERR_INVALID. */
static int
add_syntax_error(struct scan *s, const yaml_parser_t *parser)
{
    size_t line = parser->problem_mark.line;

    Conf_Add(s->errors, (int)line + 1, "", "YAML", "syntax: %s%s%s",
             parser->problem ? parser->problem : "not readable",
             parser->context ? ", " : "",
             parser->context ? parser->context : "");
    return ERR_INVALID;
}

/* Checks the parser events until the end or the first mistake. */
static int
scan_events(struct scan *s, yaml_parser_t *parser)
{
    yaml_event_t event;
    bool end = false;
    int rc = ERR_OK;

    while (rc == ERR_OK && !end) {
        if (!yaml_parser_parse(parser, &event)) {
            return add_syntax_error(s, parser);
        }
        end = event.type == YAML_STREAM_END_EVENT;
        rc = check_event(s, &event);
        yaml_event_delete(&event);
    }
    return rc;
}

/* Checks syntax and limits of a document without building its tree. */
int
conf_scan(const char *text, size_t len, struct conf_errors *errors)
{
    struct scan s = {.errors = errors};
    yaml_parser_t parser CLEANUP(yaml_parser_delete);

    if (!yaml_parser_initialize(&parser)) {
        Fatal("out of memory");
    }
    yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
    return scan_events(&s, &parser);
}
