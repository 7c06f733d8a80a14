/* The one connection of an entry to the table service, with one budget. */
#ifndef ENTRY_TABLE_H
#define ENTRY_TABLE_H

#include "kernel.h"
#include "platform.h"

#ifdef __cplusplus
extern "C" {
#endif

/* NULL when the settings name no table service. The budgets are the share of
 * one of about ten entries in what the service bears. */
struct table *Entry_Table(struct kernel *k);

#ifdef __cplusplus
}
#endif

#endif
