#include "wire-fields.h"

#define U(s, f)                                                               \
    {                                                                         \
        FIELD_UINT, offsetof(struct s, f), NULL                               \
    }
#define I(s, f)                                                               \
    {                                                                         \
        FIELD_INT, offsetof(struct s, f), NULL                                \
    }
#define ID(s, f)                                                              \
    {                                                                         \
        FIELD_ID, offsetof(struct s, f), NULL                                 \
    }
#define NAME(s, f)                                                            \
    {                                                                         \
        FIELD_NAME, offsetof(struct s, f), NULL                               \
    }
#define TEXT(s, f)                                                            \
    {                                                                         \
        FIELD_TEXT, offsetof(struct s, f), NULL                               \
    }
#define BUF(s, f)                                                             \
    {                                                                         \
        FIELD_BUF, offsetof(struct s, f), NULL                                \
    }
#define LIST(s, f, t)                                                         \
    {                                                                         \
        FIELD_LIST, offsetof(struct s, f), &(t)                               \
    }
/* Declares the table of struct s, whose tag is the table's name, from the
 * array a of its fields. */
#define FIELDS(s, a) FIELDS_OPTIONAL(s, a, 0)
/* Declares a table whose last n fields are optional: they were added while
 * programs without them were in use. */
#define FIELDS_OPTIONAL(s, a, n)                                              \
    {                                                                         \
#s, sizeof(struct s), (a), COUNT_OF(a), (n)                           \
    }

static const struct wire_field service_fields[] = {
    NAME(wire_service, name), U(wire_service, slots),
    U(wire_service, connections), U(wire_service, busy),
    U(wire_service, healthy)};
static const struct wire_fields service_table =
    FIELDS(wire_service, service_fields);

static const struct wire_field part_fields[] = {
    ID(wire_part, job), U(wire_part, attempt), U(wire_part, term),
    U(wire_part, state), U(wire_part, accelerators)};
static const struct wire_fields part_table = FIELDS(wire_part, part_fields);

static const struct wire_field entry_fields[] = {NAME(wire_entry, name),
                                                 NAME(wire_entry, address),
                                                 NAME(wire_entry, region)};
static const struct wire_fields entry_table = FIELDS(wire_entry, entry_fields);

static const struct wire_field count_fields[] = {{FIELD_UINT, 0, NULL}};
static const struct wire_fields count_table = {"count", sizeof(uint64_t),
                                               count_fields, 1};

static const struct wire_field hello[] = {
    NAME(wire_hello, agent),
    U(wire_hello, incarnation),
    NAME(wire_hello, region),
    NAME(wire_hello, domain),
    NAME(wire_hello, rack),
    U(wire_hello, accelerators),
    I(wire_hello, agent_clock),
    U(wire_hello, leaving),
    LIST(wire_hello, services, service_table),
    LIST(wire_hello, parts, part_table)};

static const struct wire_field heartbeat[] = {
    U(wire_heartbeat, incarnation),
    U(wire_heartbeat, seq),
    I(wire_heartbeat, agent_clock),
    U(wire_heartbeat, leaving),
    LIST(wire_heartbeat, busy, count_table),
    LIST(wire_heartbeat, own, count_table)};

static const struct wire_field welcome[] = {
    NAME(wire_welcome, entry),
    U(wire_welcome, incarnation),
    U(wire_welcome, seq),
    I(wire_welcome, heartbeat_ms),
    U(wire_welcome, draining),
    U(wire_welcome, known),
    LIST(wire_welcome, entries, entry_table)};

static const struct wire_field leave[] = {U(wire_leave, incarnation)};

static const struct wire_field dispatch[] = {
    ID(wire_dispatch, request),    U(wire_dispatch, attempt),
    U(wire_dispatch, incarnation), I(wire_dispatch, not_after),
    I(wire_dispatch, timeout_ms),  U(wire_dispatch, repeatable),
    NAME(wire_dispatch, service),  TEXT(wire_dispatch, content_type),
    BUF(wire_dispatch, body)};

static const struct wire_field taken[] = {
    ID(wire_taken, request), U(wire_taken, attempt), U(wire_taken, taken),
    I(wire_taken, retry_after_ms), NAME(wire_taken, reason)};

static const struct wire_field answer[] = {ID(wire_answer, request),
                                           U(wire_answer, attempt),
                                           U(wire_answer, kind),
                                           U(wire_answer, status),
                                           I(wire_answer, service_ms),
                                           NAME(wire_answer, reason),
                                           TEXT(wire_answer, content_type),
                                           BUF(wire_answer, body)};

static const struct wire_field settled[] = {ID(wire_settled, request),
                                            U(wire_settled, attempt)};

static const struct wire_field withdraw[] = {
    ID(wire_withdraw, request), U(wire_withdraw, attempt),
    U(wire_withdraw, incarnation), I(wire_withdraw, not_after)};

static const struct wire_field withdrawn[] = {ID(wire_withdrawn, request),
                                              U(wire_withdrawn, attempt),
                                              U(wire_withdrawn, verdict)};

static const struct wire_field working_fields[] = {
    ID(wire_working, job),          U(wire_working, attempt),
    U(wire_working, term),          U(wire_working, members),
    I(wire_working, checkpoint_ms), I(wire_working, usage_permille)};
static const struct wire_fields working_table =
    FIELDS(wire_working, working_fields);

static const struct wire_field renewed_fields[] = {
    ID(wire_renewed, job), U(wire_renewed, attempt), U(wire_renewed, term)};
static const struct wire_fields renewed_table =
    FIELDS(wire_renewed, renewed_fields);

static const struct wire_field binding_fields[] = {
    NAME(wire_binding, organisation), U(wire_binding, accelerators)};
static const struct wire_fields binding_table =
    FIELDS(wire_binding, binding_fields);

static const struct wire_field prepare[] = {ID(wire_prepare, job),
                                            U(wire_prepare, attempt),
                                            U(wire_prepare, term),
                                            U(wire_prepare, incarnation),
                                            U(wire_prepare, accelerators),
                                            U(wire_prepare, tasks),
                                            U(wire_prepare, members),
                                            I(wire_prepare, lease_ms),
                                            I(wire_prepare, grace_ms),
                                            U(wire_prepare, guaranteed),
                                            U(wire_prepare, claim_version),
                                            U(wire_prepare, urgent),
                                            NAME(wire_prepare, organisation),
                                            BUF(wire_prepare, spec)};

static const struct wire_field prepared[] = {
    ID(wire_prepared, job),     U(wire_prepared, attempt),
    U(wire_prepared, term),     U(wire_prepared, incarnation),
    U(wire_prepared, granted),  U(wire_prepared, busy),
    NAME(wire_prepared, reason)};

static const struct wire_field release[] = {
    ID(wire_release, job), U(wire_release, attempt), U(wire_release, term),
    U(wire_release, incarnation), I(wire_release, lease_ms)};

static const struct wire_field task[] = {
    ID(wire_task, job),     U(wire_task, attempt),
    U(wire_task, term),     U(wire_task, incarnation),
    U(wire_task, state),    I(wire_task, checkpoint_ms),
    NAME(wire_task, reason)};

static const struct wire_field pulse[] = {
    NAME(wire_pulse, agent), U(wire_pulse, incarnation),
    I(wire_pulse, sent),     U(wire_pulse, renewer),
    I(wire_pulse, stamp),    LIST(wire_pulse, working, working_table)};

static const struct wire_field renew[] = {
    U(wire_renew, incarnation), I(wire_renew, sent),
    U(wire_renew, renewer),     I(wire_renew, stamp),
    I(wire_renew, lease_ms),    LIST(wire_renew, renewed, renewed_table)};

static const struct wire_field stop[] = {
    ID(wire_stop, job),        U(wire_stop, attempt), U(wire_stop, term),
    U(wire_stop, incarnation), U(wire_stop, how),     I(wire_stop, grace_ms),
    NAME(wire_stop, reason)};

static const struct wire_field fence[] = {
    ID(wire_fence, job), U(wire_fence, attempt), U(wire_fence, term),
    U(wire_fence, incarnation)};

static const struct wire_field fenced[] = {
    ID(wire_fenced, job), U(wire_fenced, attempt), U(wire_fenced, term),
    U(wire_fenced, incarnation), U(wire_fenced, done)};

static const struct wire_field bind_fields[] = {
    NAME(wire_bind, scope), U(wire_bind, term), U(wire_bind, incarnation),
    U(wire_bind, version), LIST(wire_bind, bindings, binding_table)};

static const struct wire_field label_fields[] = {TEXT(wire_label, text)};
static const struct wire_fields label_table = FIELDS(wire_label, label_fields);

static const struct wire_field run_fields[] = {
    TEXT(wire_run, task), U(wire_run, run), TEXT(wire_run, checkpoint),
    I(wire_run, percent), I(wire_run, figure)};
static const struct wire_fields run_table = FIELDS(wire_run, run_fields);

static const struct wire_field end_fields[] = {
    U(wire_end, number), TEXT(wire_end, task), U(wire_end, run),
    U(wire_end, how), TEXT(wire_end, checkpoint)};
static const struct wire_fields end_table = FIELDS(wire_end, end_fields);

static const struct wire_field stopped_fields[] = {TEXT(wire_stopped, task),
                                                   U(wire_stopped, run)};
static const struct wire_fields stopped_table =
    FIELDS(wire_stopped, stopped_fields);

static const struct wire_field crash_fields[] = {
    TEXT(wire_crash, worker), TEXT(wire_crash, task), U(wire_crash, run),
    U(wire_crash, acknowledged), I(wire_crash, worked_ms)};
static const struct wire_fields crash_table = FIELDS(wire_crash, crash_fields);

static const struct wire_field report[] = {
    I(wire_report, stamp),
    U(wire_report, stamped_by),
    NAME(wire_report, agent),
    TEXT(wire_report, worker),
    TEXT(wire_report, left),
    TEXT(wire_report, service),
    LIST(wire_report, labels, label_table),
    I(wire_report, millicores),
    I(wire_report, memory_mb),
    I(wire_report, accelerators),
    U(wire_report, draining),
    U(wire_report, term),
    I(wire_report, clock_ms),
    LIST(wire_report, running, run_table),
    LIST(wire_report, ended, end_table),
    LIST(wire_report, stopped, stopped_table),
    NAME(wire_report, domain),
    LIST(wire_report, crashed, crash_table),
    TEXT(wire_report, unused),
    U(wire_report, entries_version),
    I(wire_report, drain_left_ms),
    U(wire_report, lists)};

static const struct wire_field hail[] = {NAME(wire_hail, entry),
                                         U(wire_hail, incarnation),
                                         I(wire_hail, store_age_ms),
                                         I(wire_hail, stamp),
                                         LIST(wire_hail, entries, entry_table),
                                         U(wire_hail, entries_version),
                                         U(wire_hail, reserves)};

static const struct wire_field order_fields[] = {
    U(wire_order, verb),      TEXT(wire_order, task),
    U(wire_order, run),       I(wire_order, until_ms),
    I(wire_order, percent),   TEXT(wire_order, checkpoint),
    TEXT(wire_order, ticket), BUF(wire_order, payload)};
static const struct wire_fields order_table = FIELDS(wire_order, order_fields);

static const struct wire_field orders[] = {
    U(wire_orders, term), TEXT(wire_orders, worker), I(wire_orders, until_ms),
    U(wire_orders, last_seen), LIST(wire_orders, orders, order_table)};

static const struct wire_field refused[] = {
    NAME(wire_refused, agent), TEXT(wire_refused, worker),
    TEXT(wire_refused, task), U(wire_refused, run),
    NAME(wire_refused, reason)};

static const struct wire_field peer[] = {
    NAME(wire_peer, entry), U(wire_peer, incarnation), U(wire_peer, version)};

static const struct wire_field document[] = {
    U(wire_document, version), U(wire_document, base), U(wire_document, size),
    U(wire_document, digest), BUF(wire_document, packed)};

static const struct wire_field reader[] = {
    U(wire_reader, version), U(wire_reader, position), I(wire_reader, age_ms),
    U(wire_reader, emptied_at), LIST(wire_reader, emptied, label_table)};

static const struct wire_field store_op_fields[] = {
    U(wire_store_op, verb), NAME(wire_store_op, table),
    TEXT(wire_store_op, key), U(wire_store_op, if_version),
    BUF(wire_store_op, value)};
static const struct wire_fields store_op_table =
    FIELDS(wire_store_op, store_op_fields);

static const struct wire_field store_call[] = {
    U(wire_store_call, number),
    U(wire_store_call, verb),
    NAME(wire_store_call, table),
    TEXT(wire_store_call, key),
    TEXT(wire_store_call, after),
    U(wire_store_call, limit),
    U(wire_store_call, position),
    I(wire_store_call, wait_ms),
    LIST(wire_store_call, ops, store_op_table)};

static const struct wire_field store_row_fields[] = {
    TEXT(wire_store_row, key), U(wire_store_row, version),
    BUF(wire_store_row, value)};
static const struct wire_fields store_row_table =
    FIELDS(wire_store_row, store_row_fields);

static const struct wire_field store_answer[] = {
    U(wire_store_answer, number),
    I(wire_store_answer, err),
    U(wire_store_answer, position),
    U(wire_store_answer, more),
    LIST(wire_store_answer, versions, count_table),
    LIST(wire_store_answer, rows, store_row_table)};

static const struct wire_field row[] = {
    TEXT(wire_row, key), U(wire_row, version), BUF(wire_row, value)};

static const struct wire_field forecast_row_fields[] = {
    NAME(wire_forecast_row, service),
    I(wire_forecast_row, priority),
    I(wire_forecast_row, within_ms),
    I(wire_forecast_row, wait_ms),
    I(wire_forecast_row, busy_permille),
    I(wire_forecast_row, free_accelerators),
    I(wire_forecast_row, millicores),
    I(wire_forecast_row, memory_mb),
    I(wire_forecast_row, accelerators)};
static const struct wire_fields forecast_row_table =
    FIELDS(wire_forecast_row, forecast_row_fields);

static const struct wire_field forecast[] = {
    U(wire_forecast, term), U(wire_forecast, number),
    LIST(wire_forecast, rows, forecast_row_table)};

static const struct wire_fields tables[WIRE_TYPE_LAST] = {
    [WIRE_HELLO] = FIELDS(wire_hello, hello),
    [WIRE_HEARTBEAT] = FIELDS(wire_heartbeat, heartbeat),
    [WIRE_WELCOME] = FIELDS(wire_welcome, welcome),
    [WIRE_LEAVE] = FIELDS(wire_leave, leave),
    [WIRE_DISPATCH] = FIELDS(wire_dispatch, dispatch),
    [WIRE_TAKEN] = FIELDS(wire_taken, taken),
    [WIRE_ANSWER] = FIELDS(wire_answer, answer),
    [WIRE_SETTLED] = FIELDS(wire_settled, settled),
    [WIRE_WITHDRAW] = FIELDS(wire_withdraw, withdraw),
    [WIRE_WITHDRAWN] = FIELDS(wire_withdrawn, withdrawn),
    [WIRE_PREPARE] = FIELDS(wire_prepare, prepare),
    [WIRE_PREPARED] = FIELDS(wire_prepared, prepared),
    [WIRE_RELEASE] = FIELDS(wire_release, release),
    [WIRE_RENEW] = FIELDS(wire_renew, renew),
    [WIRE_STOP] = FIELDS(wire_stop, stop),
    [WIRE_TASK] = FIELDS(wire_task, task),
    [WIRE_PULSE] = FIELDS(wire_pulse, pulse),
    [WIRE_BIND] = FIELDS(wire_bind, bind_fields),
    [WIRE_FENCE] = FIELDS(wire_fence, fence),
    [WIRE_FENCED] = FIELDS(wire_fenced, fenced),
    [WIRE_REPORT] = FIELDS_OPTIONAL(wire_report, report, 5),
    [WIRE_HAIL] = FIELDS_OPTIONAL(wire_hail, hail, 2),
    [WIRE_ORDERS] = FIELDS(wire_orders, orders),
    [WIRE_REFUSED] = FIELDS(wire_refused, refused),
    [WIRE_PEER] = FIELDS(wire_peer, peer),
    [WIRE_DOCUMENT] = FIELDS(wire_document, document),
    [WIRE_STORE_CALL] = FIELDS(wire_store_call, store_call),
    [WIRE_STORE_ANSWER] = FIELDS(wire_store_answer, store_answer),
    [WIRE_READER] = FIELDS(wire_reader, reader),
    [WIRE_ROW] = FIELDS(wire_row, row),
    [WIRE_FORECAST] = FIELDS(wire_forecast, forecast),
};

/* Returns the table of a message type, NULL for an unknown type. */
const struct wire_fields *
Wire_Fields(uint64_t type)
{
    if (type == 0 || type >= WIRE_TYPE_LAST) {
        return NULL;
    }
    return &tables[type];
}
