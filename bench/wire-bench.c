/*
 * wire-bench: bytes and processor time of the messages that are sent all the
 * time, for docs/CAPACITY.md. Prints a Markdown table.
 */
#include "wire.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define TURNS 20000

/* Processor time of this process, in nanoseconds. */
static int64_t
cpu_ns(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

/* Encodes and decodes a message many times and prints its row. */
static void
row(const char *name, struct wire_msg *m)
{
    struct buf b CLEANUP(Buf_Free) = {0};
    int64_t encode, decode;
    size_t i;

    encode = cpu_ns();
    for (i = 0; i < TURNS; i++) {
        Buf_Clear(&b);
        Wire_Encode(m, &b);
    }
    encode = cpu_ns() - encode;
    decode = cpu_ns();
    for (i = 0; i < TURNS; i++) {
        struct wire_msg *copy CLEANUP(Wire_FreeP) = NULL;

        if (Wire_Decode(b.data, b.len, &copy) != ERR_OK) {
            Fatal("a message that can't be read back: %s", name);
        }
    }
    decode = cpu_ns() - decode;
    printf("| %s | %zu | %lld | %lld |\n", name, b.len,
           (long long)encode / TURNS, (long long)decode / TURNS);
    Wire_Free(m);
}

/* A hello of a worker with one service and so many parts. */
static struct wire_msg *
hello(int parts)
{
    struct wire_hello *h = Wire_New(WIRE_HELLO);
    struct wire_service *s = Wire_ListAdd(&h->services, sizeof(*s));
    int i;

    Str_Copy(h->agent, NAME_SIZE, "cairo-delta-w1234");
    Str_Copy(h->region, NAME_SIZE, "cairo-delta");
    Str_Copy(h->domain, NAME_SIZE, "cairo-a");
    Str_Copy(h->rack, NAME_SIZE, "rack-17");
    Str_Copy(s->name, NAME_SIZE, "estimates");
    h->incarnation = Id_Random64();
    h->agent_clock = 86400000;
    s->slots = 8;
    s->connections = 64;
    for (i = 0; i < parts; i++) {
        struct wire_part *p = Wire_ListAdd(&h->parts, sizeof(*p));

        p->job = Id_Random();
    }
    return &h->msg;
}

static struct wire_msg *
heartbeat(void)
{
    struct wire_heartbeat *b = Wire_New(WIRE_HEARTBEAT);

    b->incarnation = Id_Random64();
    b->seq = 100000;
    b->agent_clock = 86400000;
    Wire_ListAdd(&b->busy, sizeof(uint64_t));
    Wire_ListAdd(&b->own, sizeof(uint64_t));
    return &b->msg;
}

/* The answer to a heartbeat, or with a list of entries to a hello. */
static struct wire_msg *
welcome(int entries)
{
    struct wire_welcome *w = Wire_New(WIRE_WELCOME);
    int i;

    Str_Copy(w->entry, NAME_SIZE, "entry-1");
    w->incarnation = Id_Random64();
    w->seq = 100000;
    w->heartbeat_ms = 6500;
    for (i = 0; i < entries; i++) {
        struct wire_entry *e = Wire_ListAdd(&w->entries, sizeof(*e));

        Str_Copy(e->name, NAME_SIZE, "entry-1");
        Str_Copy(e->address, NAME_SIZE, "10.20.1.10:7001");
        Str_Copy(e->region, NAME_SIZE, "cairo-delta");
    }
    return &w->msg;
}

static struct wire_msg *
pulse(int parts)
{
    struct wire_pulse *p = Wire_New(WIRE_PULSE);
    int i;

    Str_Copy(p->agent, NAME_SIZE, "cairo-delta-w1234");
    p->incarnation = Id_Random64();
    p->renewer = Id_Random64();
    p->sent = p->stamp = 86400000;
    for (i = 0; i < parts; i++) {
        struct wire_working *w = Wire_ListAdd(&p->working, sizeof(*w));

        w->job = Id_Random();
        w->checkpoint_ms = 600000;
        w->usage_permille = 900;
    }
    return &p->msg;
}

static struct wire_msg *
renew(int parts)
{
    struct wire_renew *r = Wire_New(WIRE_RENEW);
    int i;

    r->incarnation = Id_Random64();
    r->renewer = Id_Random64();
    r->sent = r->stamp = 86400000;
    r->lease_ms = GANG_LEASE_MS;
    for (i = 0; i < parts; i++) {
        struct wire_renewed *w = Wire_ListAdd(&r->renewed, sizeof(*w));

        w->job = Id_Random();
    }
    return &r->msg;
}

static struct wire_msg *
dispatch(size_t body)
{
    struct wire_dispatch *d = Wire_New(WIRE_DISPATCH);
    struct buf zeros CLEANUP(Buf_Free) = {0};

    while (zeros.len < body) {
        Buf_Append(&zeros, "0123456789abcdef", 16);
    }
    d->request = Id_Random();
    d->incarnation = Id_Random64();
    Str_Copy(d->service, NAME_SIZE, "estimates");
    Str_Copy(d->content_type, WIRE_TEXT_SIZE, "application/json");
    Buf_Append(&d->body, zeros.data, body);
    return &d->msg;
}

int
main(void)
{
    puts("| message | bytes | encode ns | decode ns |");
    puts("|---|--:|--:|--:|");
    row("hello, 1 service, no part", hello(0));
    row("hello, 1 service, 8 parts", hello(8));
    row("heartbeat", heartbeat());
    row("welcome to a heartbeat", welcome(0));
    row("welcome to a hello, 12 entries", welcome(12));
    row("pulse, 1 part", pulse(1));
    row("pulse, 8 parts", pulse(8));
    row("renew, 1 part", renew(1));
    row("renew, 8 parts", renew(8));
    row("dispatch, 1 KiB body", dispatch(1024));
    row("dispatch, 1 MiB body", dispatch((size_t)1 << 20));
    return 0;
}
