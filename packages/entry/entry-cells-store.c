#include "entry-jobs.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Which cells are bound where, kept in bindings/REGION. Without it a new
 * owner, or new accounts after a change of the configuration, would bind the
 * cells anew: guaranteed work that runs would not lie in its organisation's
 * cells any more, and could be displaced as if it were lent. */

/* The accelerators of a worker as hex text. */
static json_t *
place_to_json(const struct sched *s, const struct cells_binding *b, int i)
{
    char bits[20];

    snprintf(bits, sizeof(bits), "%" PRIx64, b->mask[i]);
    return json_pack("{s:s, s:s}", "worker",
                     Cells_Worker(s->cells, b->worker[i])->name, "bits", bits);
}

/* One binding. */
static json_t *
binding_to_json(const struct sched *s, const struct cells_binding *b)
{
    json_t *places = json_array();
    int i;

    for (i = 0; i < b->workers; i++) {
        json_array_append_new(places, place_to_json(s, b, i));
    }
    return json_pack("{s:s, s:i, s:i, s:o}", "organisation", b->organisation,
                     "workers", b->shape.workers, "accelerators",
                     b->shape.accelerators, "places", places);
}

/* Notes the bindings as they are, to be stored and to be taken over. */
void
Placement_SerializeBindings(struct sched *s)
{
    json_t *list = json_array();
    struct cells_binding b;
    char *text;
    int i;

    for (i = 0; Cells_Binding(s->cells, i, &b); i++) {
        if (b.workers > 0) {
            json_array_append_new(list, binding_to_json(s, &b));
        }
    }
    text = json_dumps(list, JSON_COMPACT);
    Buf_Set(&s->bindings, text, strlen(text));
    free(text);
    json_decref(list);
}

/* Reads where a cell was bound; false when a worker of it is not there. */
static bool
parse_places(const struct sched *s, const json_t *places,
             struct cells_binding *out)
{
    json_t *place;
    size_t i;

    if (json_array_size(places) > CELLS_RACK_MAX) {
        return false;
    }
    json_array_foreach(places, i, place)
    {
        const char *worker =
            json_string_value(json_object_get(place, "worker"));
        const char *bits = json_string_value(json_object_get(place, "bits"));

        if (worker == NULL || bits == NULL) {
            return false;
        }
        out->worker[i] = Cells_FindWorker(s->cells, worker);
        out->mask[i] = strtoull(bits, NULL, 16);
        if (out->worker[i] == CELLS_NONE) {
            return false;
        }
        out->workers++;
    }
    return out->workers > 0;
}

/* Finds a cell that the accounts hold and that no binding read before is for;
 * false when the organisation has no such cell any more. */
static bool
match_cell(const struct sched *s, const struct cells_binding *b, bool *matched)
{
    struct cells_binding held;
    int i;

    for (i = 0; Cells_Binding(s->cells, i, &held); i++) {
        if (!matched[i] && held.shape.workers == b->shape.workers &&
            held.shape.accelerators == b->shape.accelerators &&
            strcmp(held.organisation, b->organisation) == 0) {
            matched[i] = true;
            return true;
        }
    }
    return false;
}

/* Reads one binding of the list. */
static bool
parse_binding(const struct sched *s, json_t *item, bool *matched,
              struct cells_binding *out)
{
    const char *organisation;
    json_t *places;

    memset(out, 0, sizeof(*out));
    if (json_unpack(item, "{s:s, s:i, s:i, s:o}", "organisation",
                    &organisation, "workers", &out->shape.workers,
                    "accelerators", &out->shape.accelerators, "places",
                    &places) != 0) {
        return false;
    }
    Str_Copy(out->organisation, sizeof(out->organisation), organisation);
    return parse_places(s, places, out) && match_cell(s, out, matched);
}

/* Binds the cells of fresh accounts as they were bound before. What has no
 * cell or no worker any more is left out. */
void
Placement_RestoreBindings(struct sched *s)
{
    int cells = Cells_BindingCount(s->cells), n = 0;
    struct cells_binding *list CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)cells + 1, sizeof(*list));
    bool *matched CLEANUP(Mem_FreeP) =
        Mem_Zero((size_t)cells + 1, sizeof(*matched));
    json_t *all = json_loadb(s->bindings.data ? s->bindings.data : "",
                             s->bindings.len, 0, NULL);
    json_t *item;
    size_t i;
    int err;

    json_array_foreach(all, i, item)
    {
        if (n < cells && parse_binding(s, item, matched, &list[n])) {
            n++;
        }
    }
    json_decref(all);
    err = Cells_Import(s->cells, list, n, Cells_Version(s->cells) + 1);
    if (err != ERR_OK) {
        LOG_W("bindings_not_taken", KV("error", Err_Name(err)),
              KV_INT("cells", cells), KV_INT("stored", n));
    }
}

/* The version of the bindings, which rises also when the accounts are built
 * anew and begin counting again. */
static uint64_t
bindings_version(const struct sched *s)
{
    return s->rebuilds << 32 | Cells_Version(s->cells);
}

/* Whether nothing is left to be stored. */
bool
Placement_AreBindingsStored(const struct sched *s)
{
    return s->cells != NULL && s->stored_version == bindings_version(s);
}

/* How storing went. What is not stored is stored with the next poll. */
static void
on_stored(void *arg, int err, size_t at UNUSED,
          const uint64_t *versions UNUSED)
{
    struct sched *s = arg;

    s->storing = false;
    if (err != ERR_OK) {
        s->stored_version = 0;
    }
}

/* Stores the bindings when they have changed. The check of the term in the
 * same transaction keeps an earlier owner's from coming after. */
void
Placement_StoreBindings(struct sched *s)
{
    struct table_op ops[2] = {Owner_Check(s)};

    if (!s->owner.self || !s->owner.loaded || s->cells == NULL || s->storing ||
        Placement_AreBindingsStored(s)) {
        return;
    }
    Placement_SerializeBindings(s);
    ops[1] = (struct table_op){.verb = TABLE_PUT,
                               .table = "bindings",
                               .key = s->settings->region,
                               .if_version = TABLE_ANY,
                               .value = s->bindings.data,
                               .len = s->bindings.len};
    s->storing = true;
    s->stored_version = bindings_version(s);
    s->table->ops->commit(s->table, ops, COUNT_OF(ops), on_stored, s);
}
