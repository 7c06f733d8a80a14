/* Tables of the fields of each message; private to the codec. */
#ifndef WIRE_FIELDS_H
#define WIRE_FIELDS_H

#include "wire.h"

enum field_kind {
    FIELD_UINT, /* uint64_t */
    FIELD_INT,  /* int64_t */
    FIELD_ID,   /* struct id */
    FIELD_NAME, /* char[NAME_SIZE] */
    FIELD_TEXT, /* char[WIRE_TEXT_SIZE] */
    FIELD_BUF,  /* struct buf */
    FIELD_LIST  /* struct wire_list of structs that sub describes */
};

struct wire_fields;

struct wire_field {
    enum field_kind kind;
    size_t offset;
    const struct wire_fields *sub; /* of a list's items, else NULL */
};

struct wire_fields {
    const char *name;
    size_t size;
    const struct wire_field *fields;
    size_t count;
    size_t optional; /* last fields that an older sender may lack */
};

/* Returns the table of a message type, NULL for an unknown type. */
const struct wire_fields *Wire_Fields(uint64_t type);

#endif
