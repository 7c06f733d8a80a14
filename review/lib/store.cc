#include "sim.h"

#include <algorithm>
#include <cstdlib>

namespace sim {

namespace {

const size_t PAGE_ROWS = 500;
const char digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string
Text(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));

    return s != nullptr ? s : "";
}

std::string
Dump(json_t *o)
{
    char *text = json_dumps(o, JSON_COMPACT);
    std::string out = text;

    free(text);
    json_decref(o);
    return out;
}

int64_t
Number(const Request &r, const char *name)
{
    auto at = r.query.find(name);

    return at == r.query.end() ? 0 : atoll(at->second.c_str());
}

std::string
Query(const Request &r, const char *name)
{
    auto at = r.query.find(name);

    return at == r.query.end() ? "" : at->second;
}

} /* namespace */

std::string
Base64(const std::string &bytes)
{
    std::string out;
    size_t i;

    for (i = 0; i < bytes.size(); i += 3) {
        uint32_t n = 0;

        for (size_t k = 0; k < 3; k++) {
            n = n << 8 |
                (i + k < bytes.size() ? static_cast<uint8_t>(bytes[i + k])
                                      : 0);
        }
        for (size_t k = 0; k < 4; k++) {
            out +=
                i + k <= bytes.size() ? digits[n >> (18 - 6 * k) & 63] : '=';
        }
    }
    return out;
}

std::string
FromBase64(const std::string &text)
{
    std::string out;
    uint32_t n = 0;
    int bits = 0;

    for (char c : text) {
        const char *at = std::find(digits, digits + 64, c);

        if (at == digits + 64) {
            break;
        }
        n = n << 6 | static_cast<uint32_t>(at - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(n >> bits & 255);
        }
    }
    return out;
}

Store::Store(const std::string &at) : ip(at)
{
}

int
Store::Open()
{
    size_t index = servers.size();

    servers.push_back(
        std::make_unique<Server>(ip, 0, [this, index](const Request &r) {
            return Serve(static_cast<int>(index), r);
        }));
    return servers.back()->port;
}

void
Store::Put(const std::string &table, const std::string &key,
           const std::string &value)
{
    std::lock_guard<std::mutex> guard(lock);

    rows[{table, key}] = {Base64(value), ++version, false};
    changed.notify_all();
}

std::string
Store::Get(const std::string &table, const std::string &key)
{
    std::lock_guard<std::mutex> guard(lock);
    auto at = rows.find({table, key});

    return at == rows.end() || at->second.removed
               ? ""
               : FromBase64(at->second.value);
}

/* Makes a transaction if all its conditions hold; the lock is held. */
bool
Store::Apply(json_t *body)
{
    json_t *o;
    size_t i;

    json_array_foreach(json_object_get(body, "expect"), i, o)
    {
        auto at = rows.find({Text(o, "table"), Text(o, "key")});
        int64_t now =
            at == rows.end() || at->second.removed ? 0 : at->second.version;

        if (now != json_integer_value(json_object_get(o, "schema-version"))) {
            return false;
        }
    }
    version++;
    json_array_foreach(json_object_get(body, "writes"), i, o)
    {
        rows[{Text(o, "table"), Text(o, "key")}] = {Text(o, "value"), version,
                                                    false};
    }
    json_array_foreach(json_object_get(body, "remove"), i, o)
    {
        rows[{Text(o, "table"), Text(o, "key")}] = {"", version, true};
    }
    changed.notify_all();
    return true;
}

/* Rows as the body of a response; the lock is held. */
std::string
Store::RowsText(const std::vector<Name> &names, bool more)
{
    json_t *list = json_array();

    for (const Name &n : names) {
        const Row &r = rows[n];
        json_t *o = json_pack("{s:s,s:s,s:s,s:I}", "table", n.first.c_str(),
                              "part", "", "key", n.second.c_str(),
                              "schema-version", (json_int_t)r.version);

        if (r.removed) {
            json_object_set_new(o, "removed", json_true());
        }
        else {
            json_object_set_new(o, "value", json_string(r.value.c_str()));
        }
        json_array_append_new(list, o);
    }
    return Dump(json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "has-more", more,
                          "schema-version", (json_int_t)version,
                          "current-time-ms", (json_int_t)Now()));
}

/* POST /rows-tx. */
Response
Store::Transact(int port, const Request &r)
{
    json_t *body = json_loads(r.body.c_str(), 0, nullptr);
    std::set<std::string> keys;
    Fate fate;
    json_t *o;
    size_t i;

    if (body == nullptr) {
        return {400, "{}", false};
    }
    json_array_foreach(json_object_get(body, "writes"), i, o)
    {
        keys.insert(Text(o, "key"));
    }
    if (on_tx) {
        fate = on_tx(port, keys);
    }
    if (fate.how == Fate::BUSY) {
        json_decref(body);
        return {503, "{}", false};
    }
    if (fate.how == Fate::LATE) {
        int64_t ms = fate.late_ms;

        std::thread([this, body, ms] {
            Sleep(ms);
            std::lock_guard<std::mutex> guard(lock);
            bool done = Apply(body);

            Record("store: the late transaction %s",
                   done ? "is done" : "fails by its conditions");
            json_decref(body);
        }).detach();
        return {0, "", true};
    }
    Sleep(transaction_ms);
    std::lock_guard<std::mutex> guard(lock);
    bool done = Apply(body);

    json_decref(body);
    return {done ? 200 : 412, RowsText({}, false), fate.how == Fate::LOST};
}

/* GET /rows-get. */
Response
Store::Range(const Request &r)
{
    std::lock_guard<std::mutex> guard(lock);
    std::string table = Query(r, "table"), from = Query(r, "from"),
                to = Query(r, "target");
    size_t limit = static_cast<size_t>(Number(r, "limit"));
    std::vector<Name> names;
    bool more = false;

    if (limit == 0 || limit > PAGE_ROWS) {
        limit = PAGE_ROWS;
    }
    for (auto at = rows.lower_bound({table, from});
         at != rows.end() && at->first.first == table &&
         (to.empty() || at->first.second < to);
         ++at) {
        if (at->second.removed) {
            continue;
        }
        if (names.size() == limit) {
            more = true;
            break;
        }
        names.push_back(at->first);
    }
    return {200, RowsText(names, more), false};
}

/* GET /rows-feed. */
Response
Store::Feed(const Request &r)
{
    std::unique_lock<std::mutex> held(lock);
    std::string table = Query(r, "table");
    int64_t after = Number(r, "after"), end = Now() + Number(r, "wait-ms");
    std::vector<Name> names;

    for (;;) {
        for (const auto &row : rows) {
            if (row.first.first == table && row.second.version > after) {
                names.push_back(row.first);
            }
        }
        if (!names.empty() || Now() >= end) {
            break;
        }
        changed.wait_for(held, std::chrono::milliseconds(end - Now()));
    }
    std::sort(names.begin(), names.end(),
              [this](const Name &a, const Name &b) {
                  return rows[a].version < rows[b].version;
              });
    return {200, RowsText(names, false), false};
}

Response
Store::Serve(int port, const Request &r)
{
    if (busy) {
        return {503, "{}", false};
    }
    if (r.path == "/rows-tx") {
        return Transact(port, r);
    }
    if (r.path == "/rows-get") {
        return Range(r);
    }
    if (r.path == "/rows-feed") {
        return Feed(r);
    }
    return {404, "{}", false};
}

} /* namespace sim */
