/* The table service over HTTP, private to the plug-in. */
#ifndef PLATFORM_TABLE_H
#define PLATFORM_TABLE_H

#include "platform-call.h"

struct http_table {
    struct table table;
    struct platform_http http;
};

/* Implements commit of struct table_ops. */
void Table_HttpCommit(struct table *table, const struct table_op *ops,
                      size_t count, table_committed done, void *arg);

#endif
