#include "gang-agents.h"

#include <jansson.h>

namespace gang {

static std::string
Hex(const struct id &id)
{
    char hex[ID_HEX_SIZE];

    return Id_Hex(&id, hex);
}

template <typename T>
static T *
New(enum wire_type type)
{
    return (T *)Wire_New(type);
}

/* Sends a message and frees it. */
template <typename T>
static void
Send(Agent &a, size_t entry, T *m)
{
    if (!a.dead) {
        Link_Send(a.links[entry], nullptr, &m->msg);
    }
    Wire_Free(&m->msg);
}

static void
Hello(Agent &a, size_t entry)
{
    auto *m = New<struct wire_hello>(WIRE_HELLO);

    Str_Copy(m->agent, sizeof(m->agent), a.name.c_str());
    m->incarnation = a.incarnation;
    Str_Copy(m->region, sizeof(m->region), "here");
    Str_Copy(m->domain, sizeof(m->domain), "a");
    Str_Copy(m->rack, sizeof(m->rack), "r");
    m->accelerators = 8;
    m->agent_clock = Clock_NowMs();
    for (const Part &p : a.parts) {
        struct wire_part *item =
            (struct wire_part *)Wire_ListAdd(&m->parts, sizeof(*item));

        item->job = p.job;
        item->attempt = p.attempt;
        item->term = p.term;
        item->state = p.state;
        item->accelerators = p.accelerators;
    }
    Send(a, entry, m);
}

Agents::Agents() : loop(ev_loop_new(EVFLAG_AUTO)), context(Link_ContextNew())
{
    ev_timer_init(&timer, OnTick, 0., 0.05);
    timer.data = this;
    ev_timer_start(loop, &timer);
}

Agents::~Agents()
{
    done = true;
    if (thread.joinable()) {
        thread.join();
    }
    for (auto &a : agents) {
        for (struct link *l : a->links) {
            Link_Free(l);
        }
    }
    Link_ContextFree(context);
    ev_timer_stop(loop, &timer);
    ev_loop_destroy(loop);
}

void
Agents::Add(const std::string &name, const std::vector<std::string> &entries)
{
    auto a = std::make_unique<Agent>();
    static const struct link_keys none = {};

    a->group = this;
    a->name = name;
    a->incarnation = Id_Random64();
    for (size_t i = 0; i < entries.size(); i++) {
        receivers.push_back(
            std::make_unique<Receiver>(Receiver{this, a.get(), i}));
        a->links.push_back(Link_Connect(context, loop, entries[i].c_str(),
                                        &none, OnMessage,
                                        receivers.back().get()));
    }
    a->heard_at.resize(entries.size());
    a->stamp.resize(entries.size());
    a->renewer.resize(entries.size());
    for (size_t i = 0; i < entries.size(); i++) {
        Hello(*a, i);
    }
    agents.push_back(std::move(a));
}

void
Agents::Run()
{
    thread = std::thread([this] { ev_run(loop, 0); });
}

void
Agents::Kill(const std::string &name)
{
    std::lock_guard<std::mutex> guard(mutex);

    for (auto &a : agents) {
        if (a->name == name) {
            a->dead = true;
            a->parts.clear();
        }
    }
}

void
Agents::Restart(const std::string &name)
{
    std::lock_guard<std::mutex> guard(mutex);

    for (auto &a : agents) {
        std::vector<Part> parts;

        if (a->name != name) {
            continue;
        }
        a->incarnation = Id_Random64();
        parts.swap(a->parts);
        for (size_t i = 0; i < a->links.size(); i++) {
            Hello(*a, i);
        }
        parts.swap(a->parts);
        for (Part &p : a->parts) {
            Report(*a, p, "adopted");
        }
    }
}

std::vector<Event>
Agents::Log()
{
    std::lock_guard<std::mutex> guard(mutex);

    return log;
}

int
Agents::Count(const std::string &job, uint64_t attempt,
              const std::string &what)
{
    int n = 0;

    for (const Event &e : Log()) {
        n += e.job == job && e.attempt == attempt && e.what == what;
    }
    return n;
}

void
Agents::HoldPrepared(bool on)
{
    std::lock_guard<std::mutex> guard(mutex);

    hold_prepared = on;
    for (auto &h : held_prepared) {
        Send(*std::get<0>(h), std::get<1>(h), std::get<2>(h));
    }
    held_prepared.clear();
}

int
Agents::HeldPrepared()
{
    std::lock_guard<std::mutex> guard(mutex);

    return (int)held_prepared.size();
}

int
Agents::RefusedTerms()
{
    std::lock_guard<std::mutex> guard(mutex);

    return refused_terms;
}

uint64_t
Agents::BoundMask(const std::string &agent, const std::string &organisation)
{
    std::lock_guard<std::mutex> guard(mutex);

    for (auto &a : agents) {
        if (a->name == agent) {
            return a->bound[organisation];
        }
    }
    return 0;
}

void
Agents::OnMessage(void *arg, const struct link_peer *, struct wire_msg **m)
{
    auto *receiver = (Receiver *)arg;
    std::lock_guard<std::mutex> guard(receiver->group->mutex);

    if (!receiver->agent->dead) {
        receiver->agent->heard_at[receiver->entry] = Clock_NowMs();
        receiver->group->Handle(*receiver->agent, receiver->entry, *m);
    }
}

void
Agents::OnTick(struct ev_loop *l, ev_timer *w, int)
{
    auto *group = (Agents *)w->data;
    std::lock_guard<std::mutex> guard(group->mutex);

    if (group->done) {
        ev_break(l, EVBREAK_ALL);
    }
    for (auto &a : group->agents) {
        if (!a->dead) {
            group->Tick(*a);
        }
    }
}

void
Agents::Record(Agent &a, const Part &p, const char *what)
{
    log.push_back(
        {a.name, Hex(p.job), what, p.attempt, p.term, Clock_NowMs()});
}

/* Reports the state of a part to every entry. */
void
Agents::Report(Agent &a, Part &p, const char *reason)
{
    p.reported_at = Clock_NowMs();
    for (size_t i = 0; i < a.links.size(); i++) {
        auto *m = New<struct wire_task>(WIRE_TASK);

        m->job = p.job;
        m->attempt = p.attempt;
        m->term = p.term;
        m->incarnation = a.incarnation;
        m->state = p.state;
        m->checkpoint_ms = -1;
        Str_Copy(m->reason, sizeof(m->reason), reason);
        Send(a, i, m);
    }
}

Part *
Agents::Find(Agent &a, const struct id &job)
{
    for (Part &p : a.parts) {
        if (Id_Compare(&p.job, &job) == 0) {
            return &p;
        }
    }
    return nullptr;
}

bool
Agents::RejectOldTerm(Agent &a, uint64_t term)
{
    if (term < a.term) {
        refused_terms++;
        return true;
    }
    a.term = term;
    return false;
}

/* Removes a part whose reservation was replaced or that was fenced. */
static void
Drop(Agent &a, const struct id &job)
{
    for (size_t i = 0; i < a.parts.size(); i++) {
        if (Id_Compare(&a.parts[i].job, &job) == 0) {
            a.parts.erase(a.parts.begin() + (long)i);
            return;
        }
    }
}

void
Agents::Prepare(Agent &a, size_t entry, const struct wire_prepare *m)
{
    auto *r = New<struct wire_prepared>(WIRE_PREPARED);
    bool old = RejectOldTerm(a, m->term);
    std::string spec(m->spec.data ? m->spec.data : "null", m->spec.len);
    json_t *o = json_loads(spec.c_str(), JSON_DECODE_ANY, nullptr);
    json_t *run = json_object_get(o, "run_ms");
    Part *existing;

    r->job = m->job;
    r->attempt = m->attempt;
    r->term = m->term;
    r->incarnation = a.incarnation;
    existing = Find(a, m->job);
    if (existing != nullptr && existing->state != PART_RUNNING) {
        Drop(a, m->job);
        existing = nullptr;
    }
    for (const Part &p : a.parts) {
        r->busy |=
            p.state <= PART_STOPPING ? p.accelerators & m->accelerators : 0;
    }
    if (old || existing != nullptr || m->incarnation != a.incarnation ||
        std::make_pair(m->attempt, m->term) <= a.fenced[Hex(m->job)]) {
        Str_Copy(r->reason, sizeof(r->reason), "stale");
    }
    else if (r->busy != 0) {
        Str_Copy(r->reason, sizeof(r->reason), "busy");
    }
    else {
        Part p = {};

        p.job = m->job;
        p.attempt = m->attempt;
        p.term = m->term;
        p.accelerators = m->accelerators;
        p.members = m->members;
        p.until = Clock_NowMs() + m->lease_ms;
        p.ends_at = run ? json_integer_value(run) : INT64_MAX / 2;
        p.fails = json_is_true(json_object_get(o, "fail"));
        a.parts.push_back(p);
        r->granted = 1;
    }
    json_decref(o);
    if (hold_prepared) {
        held_prepared.emplace_back(&a, entry, r);
        return;
    }
    Send(a, entry, r);
}

void
Agents::Release(Agent &a, const struct wire_release *m)
{
    Part *p = Find(a, m->job);

    if (RejectOldTerm(a, m->term) || p == nullptr ||
        p->attempt != m->attempt || p->term != m->term ||
        p->state != PART_RESERVED) {
        return;
    }
    p->state = PART_RUNNING;
    p->until = Clock_NowMs() + m->lease_ms;
    p->ends_at += Clock_NowMs();
    Record(a, *p, "start");
    Report(a, *p, "released");
}

void
Agents::Fence(Agent &a, size_t entry, const struct wire_fence *m)
{
    auto *r = New<struct wire_fenced>(WIRE_FENCED);
    Part *p = Find(a, m->job);
    auto &fenced = a.fenced[Hex(m->job)];

    if (RejectOldTerm(a, m->term)) {
        Wire_Free(&r->msg);
        return;
    }
    fenced = std::max(fenced, std::make_pair(m->attempt, UINT64_MAX));
    if (p != nullptr && p->attempt <= m->attempt) {
        if (p->state == PART_RUNNING) {
            Record(a, *p, "stop");
        }
        Drop(a, m->job);
    }
    r->job = m->job;
    r->attempt = m->attempt;
    r->term = m->term;
    r->incarnation = a.incarnation;
    r->done = 1;
    Send(a, entry, r);
}

/* Renews the leases of the parts in a renewal. */
static void
Renew(Agent &a, size_t entry, const struct wire_renew *m)
{
    auto *item = (const struct wire_renewed *)m->renewed.items;

    a.renewer[entry] = m->renewer;
    a.stamp[entry] = m->stamp;
    for (size_t i = 0; i < m->renewed.count; i++) {
        for (Part &p : a.parts) {
            if (Id_Compare(&p.job, &item[i].job) == 0 &&
                p.attempt == item[i].attempt) {
                p.until = std::max(p.until, m->sent + m->lease_ms);
            }
        }
    }
}

void
Agents::Handle(Agent &a, size_t entry, struct wire_msg *m)
{
    if (m->type == WIRE_WELCOME && !((struct wire_welcome *)m)->known) {
        Hello(a, entry);
    }
    else if (m->type == WIRE_PREPARE) {
        Prepare(a, entry, (struct wire_prepare *)m);
    }
    else if (m->type == WIRE_RELEASE) {
        Release(a, (struct wire_release *)m);
    }
    else if (m->type == WIRE_FENCE) {
        Fence(a, entry, (struct wire_fence *)m);
    }
    else if (m->type == WIRE_RENEW) {
        Renew(a, entry, (struct wire_renew *)m);
    }
    else if (m->type == WIRE_STOP) {
        Part *p = Find(a, ((struct wire_stop *)m)->job);

        if (p != nullptr && p->state == PART_RUNNING) {
            p->state = PART_STOPPED;
            Record(a, *p, "stop");
            Report(a, *p, "checkpoint");
        }
    }
    else if (m->type == WIRE_BIND) {
        auto *bind = (struct wire_bind *)m;
        auto *item = (struct wire_binding *)bind->bindings.items;

        a.bound.clear();
        for (size_t i = 0; i < bind->bindings.count; i++) {
            a.bound[item[i].organisation] |= item[i].accelerators;
        }
    }
}

/* Sends a pulse with the running parts to the first entry from which something
 * was received lately, as the renewer. */
void
Agents::Pulse(Agent &a)
{
    int64_t now = Clock_NowMs();
    auto *m = New<struct wire_pulse>(WIRE_PULSE);
    size_t i = 0;

    while (i + 1 < a.links.size() && now - a.heard_at[i] > GANG_PULSE_MS * 2) {
        i++;
    }
    Str_Copy(m->agent, sizeof(m->agent), a.name.c_str());
    m->incarnation = a.incarnation;
    m->sent = now;
    m->renewer = a.renewer[i];
    m->stamp = a.stamp[i];
    for (const Part &p : a.parts) {
        if (p.state == PART_RUNNING || p.state == PART_DONE) {
            struct wire_working *w =
                (struct wire_working *)Wire_ListAdd(&m->working, sizeof(*w));
            w->job = p.job;
            w->attempt = p.attempt;
            w->term = p.term;
            w->members = p.members;
            w->checkpoint_ms = -1;
        }
    }
    Send(a, i, m);
}

void
Agents::Tick(Agent &a)
{
    int64_t now = Clock_NowMs();

    if (a.seq++ % 6 == 0) { /* every 300 ms, at 50 ms a tick */
        for (size_t i = 0; i < a.links.size(); i++) {
            auto *m = New<struct wire_heartbeat>(WIRE_HEARTBEAT);

            m->incarnation = a.incarnation;
            m->seq = a.seq;
            m->agent_clock = now;
            Send(a, i, m);
        }
    }
    if (a.seq % 20 == 1) { /* every second */
        Pulse(a);
    }
    for (size_t i = 0; i < a.parts.size(); i++) {
        Part &p = a.parts[i];

        if (p.state == PART_RESERVED && now > p.until) {
            p.state = PART_STOPPED;
            Report(a, p, "reservation_lapsed");
        }
        else if (p.state == PART_RUNNING && now > p.until) {
            p.state = PART_STOPPED;
            Record(a, p, "lapse");
            Report(a, p, "lease_lapsed");
        }
        else if (p.state == PART_RUNNING && now >= p.ends_at) {
            p.state = p.fails ? PART_FAILED : PART_DONE;
            Record(a, p, p.fails ? "fail" : "end");
            Report(a, p, "ended");
        }
        else if (p.state >= PART_STOPPED && now - p.reported_at > 1000) {
            Report(a, p, "again");
        }
    }
}

} /* namespace gang */
