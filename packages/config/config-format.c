#include "config-internal.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535

/* Parses a port of 1..PORT_MAX; -1 for anything else. */
static int
parse_port(const char *text)
{
    char *end;
    long port;

    if (*text < '1' || *text > '9') {
        return -1;
    }
    port = strtol(text, &end, 10);
    return *end != '\0' || port > PORT_MAX ? -1 : (int)port;
}

/* True for an IPv4 or IPv6 address. */
static bool
is_ip(const char *text)
{
    struct in6_addr v6;
    struct in_addr v4;

    return inet_pton(AF_INET, text, &v4) == 1 ||
           inet_pton(AF_INET6, text, &v6) == 1;
}

/* True for an address that others can connect to. The wildcard address is
 * refused: it would be sent to agents, and each would connect to itself. */
static bool
is_reachable_ip(const char *text)
{
    return is_ip(text) && strcmp(text, "0.0.0.0") != 0 &&
           strcmp(text, "::") != 0;
}

/* Splits "ip:port"; an IPv6 address must be in brackets. */
int
Settings_SplitAddress(const char *text, char ip[NAME_SIZE], int *port)
{
    const char *colon = strrchr(text, ':');
    size_t len;

    if (colon == NULL) {
        return ERR_INVALID;
    }
    len = (size_t)(colon - text);
    if (len > 2 && text[0] == '[' && colon[-1] == ']') {
        text++;
        len -= 2;
    }
    else if (memchr(text, ':', len) != NULL) {
        return ERR_INVALID;
    }
    if (len >= NAME_SIZE) {
        return ERR_INVALID;
    }
    memcpy(ip, text, len);
    ip[len] = '\0';
    *port = parse_port(colon + 1);
    return *port > 0 && is_reachable_ip(ip) ? ERR_OK : ERR_INVALID;
}

/* True for what Settings_SplitAddress accepts. */
bool
Settings_IsAddress(const char *text)
{
    char ip[NAME_SIZE];
    int port;

    return Settings_SplitAddress(text, ip, &port) == ERR_OK;
}

/* True for an http or https URL with a host and without spaces, query,
 * fragment or trailing slash. */
bool
Settings_IsUrl(const char *text)
{
    const char *host = strstr(text, "://");
    size_t scheme = host == NULL ? 0 : (size_t)(host - text);

    if (!(scheme == 4 && strncmp(text, "http", 4) == 0) &&
        !(scheme == 5 && strncmp(text, "https", 5) == 0)) {
        return false;
    }
    host += 3;
    if (*host == '\0' || *host == '/' || host[strlen(host) - 1] == '/') {
        return false;
    }
    for (; *host != '\0'; host++) {
        if (*host <= ' ' || *host == 0x7f || strchr("?#", *host) != NULL) {
            return false;
        }
    }
    return true;
}

/* True for a digest in the form that Digest_Hex writes. */
static bool
is_hash(const char *text)
{
    return strlen(text) == DIGEST_HEX_SIZE - 1 &&
           strspn(text, "0123456789abcdef") == DIGEST_HEX_SIZE - 1;
}

/* True for a number of up to 12 digits that may have a fraction, such as 0.25.
 */
static bool
is_decimal(const char *text)
{
    size_t digits = strspn(text, "0123456789");

    if (digits == 0 || strlen(text) > 12) {
        return false;
    }
    if (text[digits] == '.') {
        text += digits + 1;
        digits = strspn(text, "0123456789");
    }
    return digits > 0 && text[digits] == '\0';
}

/* True for the text of a shape. */
static bool
is_shape(const char *text)
{
    struct shape shape;

    return Config_ParseShape(text, &shape) == ERR_OK;
}

const struct conf_format config_ip_format = {
    "an IP number that others reach, not 0.0.0.0", is_reachable_ip};
const struct conf_format config_address_format = {
    "ip:port, or [ip]:port, with a port of 1..65535", Settings_IsAddress};
const struct conf_format config_decimal_format = {
    "a number such as 0.25, of at most 12 characters", is_decimal};
const struct conf_format config_url_format = {
    "http://host[:port][/path] or https://, without a slash at the end",
    Settings_IsUrl};
const struct conf_format config_hash_format = {
    "the hash of a token, 64 of 0-9 a-f", is_hash};
const struct conf_format config_name_format = {
    "a name of 1..63 of A-Z a-z 0-9 . _ -", Str_IsName};
const struct conf_format config_shape_format = {
    "\"accelerators: 1..64\", worker, \"workers: 1..1024\", rack or "
    "\"racks: 1..1024\"",
    is_shape};
