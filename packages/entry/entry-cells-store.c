#include "entry-jobs.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The bindings of cells to accelerators, stored in the row bindings/REGION.
 * Without it a new owner, or struct cells rebuilt after a change of the
 * configuration, would choose new bindings: running guaranteed jobs would no
 * longer be in their organisation's cells, and could be preempted as if they
 * were lent work. */

/* One worker of a binding as JSON, with its accelerators as hex text. */
static json_t *
place_to_json(const struct sched *s, const struct cells_binding *b, int i)
{
    char bits[20];

    snprintf(bits, sizeof(bits), "%" PRIx64, b->mask[i]);
    return json_pack("{s:s, s:s}", "worker",
                     Cells_Worker(s->cells, b->worker[i])->name, "bits", bits);
}

/* One binding as JSON. */
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

/* Writes the current bindings to s->bindings as JSON, to be stored or to be
 * restored into a rebuilt struct cells. */
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

/* Parses the places of a binding. Returns false if they are malformed or a
 * worker no longer exists. */
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

/* Finds a cell of the organisation and shape that no other parsed binding
 * has matched. Returns false if there is none, as the guarantee shrank. */
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

/* Parses one binding of the list. Returns false if it is malformed, or its
 * cell or a worker no longer exists. */
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

/* Binds the cells of a rebuilt struct cells as they were bound before.
 * Bindings whose cell or worker no longer exists are left out. */
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
    err = Cells_ImportBindings(s->cells, list, n, Cells_Version(s->cells) + 1);
    if (err != ERR_OK) {
        LOG_W("bindings_not_taken", KV("error", Err_Name(err)),
              KV_INT("cells", cells), KV_INT("stored", n));
    }
}

/* The version of the bindings. A rebuilt struct cells restarts its versions,
 * so the number of rebuilds is the upper half. */
static uint64_t
bindings_version(const struct sched *s)
{
    return s->rebuilds << 32 | Cells_Version(s->cells);
}

/* True when the current bindings need not be written. */
bool
Placement_AreBindingsStored(const struct sched *s)
{
    return s->cells != NULL && s->stored_version == bindings_version(s);
}

/* Handles the result of a write of the bindings. A failed one is repeated with
 * the next poll. */
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

/* Stores the bindings if they have changed. The check of the term in the same
 * transaction prevents an earlier owner from overwriting them later. */
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
