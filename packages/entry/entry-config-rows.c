#include "entry-config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Writes the key of a history row. */
const char *
config_history_key(uint64_t epoch, char out[CONFIG_HISTORY_KEY_SIZE])
{
    snprintf(out, CONFIG_HISTORY_KEY_SIZE, CONFIG_HISTORY_PREFIX "%016llu",
             (unsigned long long)epoch);
    return out;
}

/* Parses a head row. */
int
config_read_head(const struct table_row *row, struct config_head *head)
{
    json_t *o;
    const char *hash;
    int64_t epoch = 0;
    int err = ERR_INVALID;

    *head = (struct config_head){.version = row->version};
    if (row->version == 0) {
        return ERR_OK;
    }
    o = json_loadb(row->value.data, row->value.len, 0, NULL);
    hash = json_string_value(json_object_get(o, "hash"));
    if (Json_Whole(json_object_get(o, "epoch"), JSON_COUNTER_MAX, &epoch) ==
            ERR_OK &&
        epoch > 0 && hash != NULL && strlen(hash) == DIGEST_HEX_SIZE - 1) {
        head->epoch = (uint64_t)epoch;
        Str_Copy(head->hash, sizeof(head->hash), hash);
        err = ERR_OK;
    }
    json_decref(o);
    return err;
}

/* Builds the value of the head row. */
void
config_render_head(const struct config_snapshot *f, const char *operator_name,
                   size_t changes, struct buf *out)
{
    json_t *o =
        json_pack("{s:I, s:s, s:s, s:I, s:I}", "epoch", (json_int_t)f->epoch,
                  "hash", f->hash, "operator", operator_name, "wall_ms",
                  (json_int_t)Clock_WallMs(), "changes", (json_int_t)changes);
    char *text = json_dumps(o, JSON_COMPACT);

    Buf_AppendStr(out, text);
    free(text);
    json_decref(o);
}

/* Splits a difference into a list of lines, at most CONFIG_HISTORY_LINES. */
static json_t *
line_list(const char *lines)
{
    json_t *list = json_array();
    size_t n = 0;

    while (lines != NULL && *lines != '\0') {
        size_t len = strcspn(lines, "\n");

        if (n++ == CONFIG_HISTORY_LINES) {
            json_array_append_new(list, json_string("..."));
            break;
        }
        json_array_append_new(list, json_stringn(lines, len));
        lines += len + (lines[len] == '\n');
    }
    return list;
}

/* Builds the value of a history row. */
json_t *
config_history_value(const struct config_snapshot *f,
                     const char *operator_name, const struct id *write,
                     const char *lines)
{
    char hex[ID_HEX_SIZE];

    return json_pack("{s:I, s:s, s:s, s:I, s:s, s:o}", "epoch",
                     (json_int_t)f->epoch, "hash", f->hash, "operator",
                     operator_name, "wall_ms", (json_int_t)Clock_WallMs(),
                     "write", Id_Hex(write, hex), "lines", line_list(lines));
}
