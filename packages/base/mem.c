#include "base.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Ends the process when an allocation has failed. */
static void *
checked(void *p)
{
    if (p == NULL) {
        Fatal("out of memory");
    }
    return p;
}

/* malloc that ends the process when there is no memory. */
void *
Mem_Alloc(size_t size)
{
    return checked(malloc(size ? size : 1));
}

/* calloc that ends the process when there is no memory. */
void *
Mem_Zero(size_t count, size_t size)
{
    return checked(calloc(count ? count : 1, size ? size : 1));
}

/* realloc that ends the process when there is no memory. */
void *
Mem_Grow(void *old, size_t size)
{
    return checked(realloc(old, size ? size : 1));
}

/* strdup that ends the process when there is no memory. */
char *
Mem_Dup(const char *s)
{
    return checked(strdup(s));
}

/* Frees the memory of a local pointer at the end of its scope. */
void
Mem_FreeP(void *pointer_to_pointer)
{
    free(*(void **)pointer_to_pointer);
}

/* Copies a string, truncated if it is too long, and always terminates it. */
int
Str_Copy(char *dst, size_t size, const char *src)
{
    size_t len = strlen(src);

    if (len >= size) {
        memcpy(dst, src, size - 1);
        dst[size - 1] = '\0';
        return ERR_TOOBIG;
    }
    memcpy(dst, src, len + 1);
    return ERR_OK;
}

/* True for a name that needs no quoting in a path, a log line or the label of
 * a metric. */
bool
Str_IsName(const char *s)
{
    static const char alnum[] = "abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
    static const char punct[] = "._-";
    size_t i;

    if (*s == '\0' || strchr(punct, *s) != NULL) {
        return false;
    }
    for (i = 0; s[i] != '\0'; i++) {
        if (strchr(alnum, s[i]) == NULL && strchr(punct, s[i]) == NULL) {
            return false;
        }
    }
    return i < NAME_SIZE;
}

/* Closes a local file at the end of its scope. */
static void
close_file(FILE **f)
{
    if (*f != NULL) {
        fclose(*f);
    }
}

/* Reads a whole file of at most max bytes. */
int
File_Read(const char *path, size_t max, struct buf *out)
{
    FILE *f CLEANUP(close_file) = fopen(path, "rb");
    char chunk[8192];
    size_t n;

    Buf_Clear(out);
    if (f == NULL) {
        return errno == ENOENT ? ERR_NOTFOUND : ERR_IO;
    }
    while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0) {
        if (out->len + n > max) {
            return ERR_TOOBIG;
        }
        Buf_Append(out, chunk, n);
    }
    return ferror(f) ? ERR_IO : ERR_OK;
}
