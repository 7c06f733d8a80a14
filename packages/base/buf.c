#include "base.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Makes room for more bytes and a final NUL. */
void
Buf_Reserve(struct buf *b, size_t more)
{
    size_t needed = b->len + more + 1;
    size_t cap = b->cap ? b->cap : 64;

    if (needed <= b->cap) {
        return;
    }
    while (cap < needed) {
        cap *= 2;
    }
    b->data = Mem_Grow(b->data, cap);
    b->cap = cap;
}

/* Appends bytes and a NUL that len does not count. */
void
Buf_Append(struct buf *b, const void *data, size_t len)
{
    Buf_Reserve(b, len);
    if (len > 0) {
        memcpy(b->data + b->len, data, len);
    }
    b->len += len;
    b->data[b->len] = '\0';
}

/* Appends a string. */
void
Buf_AppendStr(struct buf *b, const char *s)
{
    Buf_Append(b, s, strlen(s));
}

/* Appends formatted text. */
void
Buf_Printf(struct buf *b, const char *fmt, ...)
{
    va_list ap;
    int n;

    va_start(ap, fmt);
    n = vsnprintf(NULL, 0, fmt, ap);
    va_end(ap);
    if (n < 0) {
        Fatal("vsnprintf failed for the format: %s", fmt);
    }
    Buf_Reserve(b, (size_t)n);
    va_start(ap, fmt);
    vsnprintf(b->data + b->len, (size_t)n + 1, fmt, ap);
    va_end(ap);
    b->len += (size_t)n;
}

/* Replaces the content. */
void
Buf_Set(struct buf *b, const void *data, size_t len)
{
    Buf_Clear(b);
    Buf_Append(b, data, len);
}

/* Frees the content of dst and moves that of src into it. */
void
Buf_Move(struct buf *dst, struct buf *src)
{
    Buf_Free(dst);
    *dst = *src;
    memset(src, 0, sizeof(*src));
}

/* Empties a buffer and keeps its memory for the next use. */
void
Buf_Clear(struct buf *b)
{
    b->len = 0;
    if (b->data != NULL) {
        b->data[0] = '\0';
    }
}

/* Frees the memory; the buffer can be used again. */
void
Buf_Free(struct buf *b)
{
    free(b->data);
    memset(b, 0, sizeof(*b));
}
