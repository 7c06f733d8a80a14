#include "config-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Adds a section with the given keys of the document. */
static void
add_section(struct config_sections *s, const char *name,
            const enum document_key *which, size_t count,
            const struct config *data)
{
    struct conf_key keys[DOC_KEYS];
    struct conf_table table = {.size = sizeof(*data), .keys = keys};
    struct config_section *section;

    for (size_t i = 0; i < count; i++) {
        keys[i] = config_document_table.keys[which[i]];
    }
    table.count = count;
    s->at = Mem_Grow(s->at, (s->count + 1) * sizeof(*s->at));
    section = &s->at[s->count++];
    memset(section, 0, sizeof(*section));
    section->name = Mem_Dup(name);
    config_render_yaml(&table, data, &section->text);
    Digest_Hex(section->text.data, section->text.len, section->hash);
}

/* Adds a section for each organisation. */
static void
add_organisations(struct config_sections *s, const struct config *c)
{
    static const enum document_key which[] = {DOC_ORGANISATIONS};
    struct config one = {.organisations = {.count = 1}};
    struct config_organisation *o;
    char name[NAME_SIZE + 16];

    for (size_t i = 0; i < c->organisations.count; i++) {
        o = CONFIG_AT(c->organisations, struct config_organisation, i);
        one.organisations.items = o;
        snprintf(name, sizeof(name), "organisation/%s", o->name);
        add_section(s, name, which, COUNT_OF(which), &one);
    }
}

/* Splits a document into its sections. */
void
Config_Sections(const struct config *c, struct config_sections *out)
{
    static const enum document_key general[] = {DOC_VERSION, DOC_WEIGHTS};
    static const enum document_key topology[] = {DOC_TOPOLOGY};
    static const enum document_key operators[] = {DOC_OPERATORS};
    static const enum document_key classes[] = {DOC_CLASSES};
    static const enum document_key services[] = {DOC_SERVICES};

    memset(out, 0, sizeof(*out));
    add_section(out, "general", general, COUNT_OF(general), c);
    add_section(out, "topology", topology, COUNT_OF(topology), c);
    add_section(out, "operators", operators, COUNT_OF(operators), c);
    add_organisations(out, c);
    add_section(out, "classes", classes, COUNT_OF(classes), c);
    add_section(out, "services", services, COUNT_OF(services), c);
}

/* Frees sections. */
void
Config_FreeSections(struct config_sections *s)
{
    for (size_t i = 0; i < s->count; i++) {
        free(s->at[i].name);
        Buf_Free(&s->at[i].text);
    }
    free(s->at);
    memset(s, 0, sizeof(*s));
}

static const struct conf_key index_entry_keys[] = {
    {.name = "name",
     .type = CONF_STRING,
     .offset = offsetof(struct config_index_entry, name),
     .required = true,
     .min = 1,
     .max = NAME_SIZE + 16},
    {.name = "hash",
     .type = CONF_STRING,
     .offset = offsetof(struct config_index_entry, hash),
     .required = true,
     .format = &config_hash_format},
    {.name = "bytes",
     .type = CONF_INT,
     .offset = offsetof(struct config_index_entry, bytes),
     .required = true,
     .max = 4 * 1024 * 1024},
};

static const struct conf_table index_entry_table = {
    .name = "section",
    .size = sizeof(struct config_index_entry),
    .keys = index_entry_keys,
    .count = COUNT_OF(index_entry_keys),
    .line_at = offsetof(struct config_index_entry, line),
};

static const struct conf_key index_keys[] = {
    {.name = "sections",
     .type = CONF_LIST,
     .offset = offsetof(struct config_index, sections),
     .required = true,
     .max = 2048,
     .sub = &index_entry_table},
};

static const struct conf_table index_table = {
    .name = "index",
    .size = sizeof(struct config_index),
    .keys = index_keys,
    .count = COUNT_OF(index_keys),
};

/* Writes the index of sections as YAML. */
void
Config_RenderIndex(const struct config_sections *s, struct buf *out)
{
    struct config_index_entry *entries CLEANUP(Mem_FreeP) =
        Mem_Zero(s->count, sizeof(*entries));
    struct config_index index = {{entries, s->count}};

    for (size_t i = 0; i < s->count; i++) {
        entries[i].name = s->at[i].name;
        entries[i].hash = s->at[i].hash;
        entries[i].bytes = (int64_t)s->at[i].text.len;
    }
    config_render_yaml(&index_table, &index, out);
}

/* Parses an index of sections. */
int
Config_ParseIndex(const char *text, size_t len, struct config_index *out,
                  struct conf_errors *errors)
{
    return Conf_Parse(text, len, &index_table, out, errors);
}

/* Frees what an index owns. */
void
Config_FreeIndex(struct config_index *index)
{
    Conf_Free(&index_table, index);
}
