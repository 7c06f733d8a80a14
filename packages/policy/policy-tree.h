/*
 * Static functions of a red-black tree. RB_GENERATE_STATIC of this C library
 * asks for a macro __unused that glibc lacks.
 */
#ifndef POLICY_TREE_H
#define POLICY_TREE_H

#include "base.h"

#define TREE_STATIC(name, type, field, compare)                               \
    RB_PROTOTYPE_INTERNAL(name, type, field, compare, UNUSED static)          \
    RB_GENERATE_INTERNAL(name, type, field, compare, UNUSED static)           \
    struct name

#endif
