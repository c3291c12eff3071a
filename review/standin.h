// Stand-ins for the scripts of the review: the platform's store and its calls, databases, clients and the start of
// lavendervane-entryd. They follow PROTOCOL.md; where a case needs a figure, it is one of the site file that its
// claim.txt names. Everything listens on loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

extern char** environ;

namespace standin {

using Json = nlohmann::json;

/// Milliseconds of the steady clock since the program started.
inline double nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepMs(double milliseconds)
{
    if (milliseconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(milliseconds));
}

/// Writes record.txt: one line for each thing that was sent, answered or run.
class Record {
public:
    explicit Record(const std::string& path)
        : file(std::fopen(path.c_str(), "w"))
    {
    }
    ~Record()
    {
        if (this->file)
            std::fclose(this->file);
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[600];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(this->mutex);
        std::fprintf(this->file, "%10.1f %s\n", nowMs(), text);
    }
    /// As `line`, and prints the text.
    void result(const std::string& text)
    {
        this->line("%s", text.c_str());
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
        const std::lock_guard lock(this->mutex);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE* file;
};

inline std::mt19937_64& randomEngine()
{
    static std::atomic<uint64_t> next { std::random_device {}() };
    static thread_local std::mt19937_64 engine(next += 7919);
    return engine;
}

inline double uniform(double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(randomEngine());
}

/// Work time of a statement as the site files state it: log-normal with the given mean and spread, cut at `max`.
struct WorkTime {
    double mean = 8;
    double spread = 0.7;
    double max = 60;
    double sample() const
    {
        const double sigma = std::sqrt(std::log(1 + this->spread * this->spread));
        const double mu = std::log(this->mean) - sigma * sigma / 2;
        return std::min(this->max, std::lognormal_distribution<double>(mu, sigma)(randomEngine()));
    }
};

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t index = 0; index < bytes.size(); index += 3) {
        uint32_t group = 0;
        for (size_t offset = 0; offset < 3; ++offset)
            group = group << 8 | (index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0);
        for (size_t offset = 0; offset < 4; ++offset)
            text.push_back(index + offset <= bytes.size() ? digits[group >> (18 - 6 * offset) & 63] : '=');
    }
    return text;
}

// Sockets

inline sockaddr_in makeAddress(const std::string& ip, uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Listens on a free port of the address, or on `port` if it is not 0, and stores the port.
inline int listenOn(const std::string& ip, uint16_t& port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = makeAddress(ip, port);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) || listen(descriptor, 4096)) {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t length = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    port = ntohs(address.sin_port);
    return descriptor;
}

/// Returns a port of the address that is free now.
inline uint16_t freePort(const std::string& ip)
{
    uint16_t port = 0;
    close(listenOn(ip, port));
    return port;
}

class Stream {
public:
    explicit Stream(int descriptor)
        : descriptor(descriptor)
    {
        const int one = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~Stream() { this->close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    static std::unique_ptr<Stream> connectTo(const std::string& ip, uint16_t port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = makeAddress(ip, port);
        if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address)) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<Stream>(descriptor);
    }

    void close()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
        this->descriptor = -1;
    }

    bool write(const std::string& bytes)
    {
        size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t count = send(this->descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            done += static_cast<size_t>(count);
        }
        return true;
    }

    enum class Read { Line, Closed, TimedOut };

    /// Reads a line without its CR LF; waits until `deadlineMs`, or for ever if it is negative.
    Read line(std::string& text, double deadlineMs = -1)
    {
        while (true) {
            if (const size_t end = this->buffer.find('\n'); end != std::string::npos) {
                text = this->buffer.substr(0, end);
                this->buffer.erase(0, end + 1);
                if (!text.empty() && text.back() == '\r')
                    text.pop_back();
                return Read::Line;
            }
            if (const auto more = this->fill(deadlineMs); more != Read::Line)
                return more;
        }
    }

    bool bytes(std::string& text, size_t count)
    {
        while (this->buffer.size() < count) {
            if (this->fill(-1) != Read::Line)
                return false;
        }
        text = this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return true;
    }

private:
    Read fill(double deadlineMs)
    {
        pollfd entry { this->descriptor, POLLIN, 0 };
        const double left = deadlineMs < 0 ? -1 : std::max(0.0, deadlineMs - nowMs());
        const int ready = poll(&entry, 1, left < 0 ? -1 : static_cast<int>(std::ceil(left)));
        if (ready == 0)
            return Read::TimedOut;
        char bytes[16384];
        const ssize_t count = ready < 0 ? -1 : recv(this->descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
            return Read::Closed;
        this->buffer.append(bytes, static_cast<size_t>(count));
        return Read::Line;
    }

    int descriptor;
    std::string buffer;
};

/// Accepts connections and serves each one on a thread of its own. Lives until the program ends.
inline void serve(int listener, std::function<void(Stream&)> handler)
{
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            std::thread([descriptor, handler] {
                Stream stream(descriptor);
                handler(stream);
            }).detach();
        }
    }).detach();
}

// HTTP

struct HttpCall {
    std::string method, path;
    std::map<std::string, std::string> query, headers;
    std::string body;
};

inline std::string decodePercent(const std::string& text)
{
    std::string decoded;
    for (size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded.push_back(static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16)));
            index += 2;
        } else {
            decoded.push_back(text[index]);
        }
    }
    return decoded;
}

inline bool readHttpCall(Stream& stream, HttpCall& call)
{
    std::string line;
    if (stream.line(line) != Stream::Read::Line)
        return false;
    const size_t first = line.find(' ');
    const size_t second = line.find(' ', first + 1);
    if (second == std::string::npos)
        return false;
    call = {};
    call.method = line.substr(0, first);
    const std::string target = line.substr(first + 1, second - first - 1);
    const size_t mark = target.find('?');
    call.path = target.substr(0, mark);
    for (size_t start = mark; start != std::string::npos && start + 1 < target.size();) {
        const size_t end = target.find('&', start + 1);
        const std::string pair = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        const size_t equals = pair.find('=');
        if (equals != std::string::npos)
            call.query[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
        start = end;
    }
    while (stream.line(line) == Stream::Read::Line && !line.empty()) {
        const size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char& character : name)
            character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        call.headers[name] = line.substr(line.find_first_not_of(' ', colon + 1));
    }
    const auto length = call.headers.find("content-length");
    return length == call.headers.end() || stream.bytes(call.body, std::stoul(length->second));
}

inline bool writeHttpAnswer(Stream& stream, int status, const std::string& body)
{
    return stream.write("HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body);
}

// The platform's store

class Store {
public:
    explicit Store(const std::string& ip)
        : ip(ip)
    {
        serve(listenOn(ip, this->port), [this](Stream& stream) {
            HttpCall call;
            while (readHttpCall(stream, call)) {
                const auto [status, body] = this->answer(call);
                if (!writeHttpAnswer(stream, status, body.dump()))
                    return;
            }
        });
    }

    std::string address() const { return this->ip + ":" + std::to_string(this->port); }

    /// Writes a row of the operator or of a database. Returns when the store has acknowledged it.
    void put(const std::string& table, const std::string& key, const Json& value)
    {
        const std::lock_guard lock(this->mutex);
        ++this->version;
        this->set(table, key, encodeBase64(value.dump()), false);
        this->changed.notify_all();
    }

private:
    struct Row {
        std::string value;
        uint64_t version = 0;
        bool deleted = false;
    };
    using Table = std::map<std::string, Row>;

    void set(const std::string& table, const std::string& key, const std::string& value, bool deleted)
    {
        this->tables[table][key] = { value, this->version, deleted };
    }

    static Json encodeRow(const std::string& table, const std::string& key, const Row& row)
    {
        Json json { { "table", table }, { "part", "" }, { "key", key }, { "ver", row.version } };
        if (row.deleted)
            json["deleted"] = true;
        else
            json["value"] = row.value;
        return json;
    }

    Json withClock(Json body) const
    {
        body["ver"] = this->version;
        body["now_ms"] = static_cast<uint64_t>(nowMs()) + 50'000;
        return body;
    }

    std::pair<int, Json> answer(const HttpCall& call)
    {
        sleepMs(4);
        if (call.method == "POST" && call.path == "/-/rows-tx")
            return this->transact(Json::parse(call.body));
        if (call.method == "GET" && call.path == "/-/rows-get")
            return this->read(call.query);
        if (call.method == "GET" && call.path == "/-/rows-feed")
            return this->follow(call.query);
        return { 404, Json::object() };
    }

    std::pair<int, Json> transact(const Json& call)
    {
        const std::lock_guard lock(this->mutex);
        Json current = Json::array();
        bool holds = true;
        for (const Json& expected : call.value("expected", Json::array())) {
            const std::string table = expected.at("table"), key = expected.at("key");
            const auto found = this->tables[table].find(key);
            const bool exists = found != this->tables[table].end() && !found->second.deleted;
            holds = holds && (exists ? found->second.version : 0) == expected.at("ver").get<uint64_t>();
            if (exists)
                current.push_back(encodeRow(table, key, found->second));
        }
        if (!holds)
            return { 412, this->withClock({ { "rows", current } }) };
        for (const char* list : { "set_keys", "delete_keys" }) {
            for (const Json& entry : call.value(list, Json::array())) {
                if (entry.at("table") == "op" || entry.at("table") == "servers")
                    return { 403, Json::object() };
            }
        }
        ++this->version;
        for (const Json& entry : call.value("set_keys", Json::array()))
            this->set(entry.at("table"), entry.at("key"), entry.at("value"), false);
        for (const Json& entry : call.value("delete_keys", Json::array()))
            this->set(entry.at("table"), entry.at("key"), "", true);
        this->changed.notify_all();
        return { 200, this->withClock(Json::object()) };
    }

    std::pair<int, Json> read(const std::map<std::string, std::string>& query)
    {
        const std::lock_guard lock(this->mutex);
        const auto text = [&query](const char* name) {
            const auto found = query.find(name);
            return found == query.end() ? std::string() : found->second;
        };
        const std::string table = text("table"), from = text("from"), to = text("to");
        const size_t limit = query.count("limit") ? std::min<size_t>(500, std::stoul(text("limit"))) : 500;
        Json rows = Json::array();
        bool hasMore = false;
        for (const auto& [key, row] : this->tables[table]) {
            if (row.deleted || key < from || (!to.empty() && key >= to))
                continue;
            hasMore = rows.size() == limit;
            if (hasMore)
                break;
            rows.push_back(encodeRow(table, key, row));
        }
        return { 200, this->withClock({ { "rows", rows }, { "has_more", hasMore } }) };
    }

    std::pair<int, Json> follow(const std::map<std::string, std::string>& query)
    {
        const std::string table = query.at("table");
        const uint64_t after = std::stoull(query.at("after"));
        const auto wait = query.count("wait_ms") ? std::stoul(query.at("wait_ms")) : 0;
        std::unique_lock lock(this->mutex);
        Json rows = Json::array();
        const auto hasRows = [&] {
            std::map<uint64_t, Json> ordered;
            for (const auto& [key, row] : this->tables[table]) {
                if (row.version > after)
                    ordered.emplace(row.version, encodeRow(table, key, row));
            }
            rows = Json::array();
            for (const auto& [version, row] : ordered)
                rows.push_back(row);
            return !rows.empty();
        };
        this->changed.wait_for(lock, std::chrono::milliseconds(std::min<unsigned long>(wait, 30'000)), hasRows);
        return { 200, this->withClock({ { "rows", rows } }) };
    }

    std::string ip;
    uint16_t port = 0;
    std::mutex mutex;
    std::condition_variable changed;
    uint64_t version = 100;
    std::map<std::string, Table> tables;
};

// Databases

/// A statement of a client that a database has run.
struct Run {
    std::string database, tenant, id, text;
    double arrivedMs = 0, endedMs = 0;
    std::string code; ///< empty if it succeeded
};

struct DatabaseSettings {
    uint32_t slots = 3;
    uint32_t queue = 24;
    uint32_t maxConnections = 87;
    double handshakeMs = 27;
    double applyLagMs = 8;
    WorkTime work;
    /// Work time of statements on items whose names begin with "b".
    WorkTime otherWork;
};

class Group;

class Database {
public:
    Database(Group& group, std::string id, const std::string& ip, bool primary);

    Json entry(const std::string& service, const std::string& zone) const
    {
        return { { "service", service }, { "address", this->ip + ":" + std::to_string(this->port) }, { "zone", zone },
            { "version", "v1" }, { "slots", this->slots }, { "state", "ready" }, { "cold_remaining_ms", 0 },
            { "db_role", this->primary ? "primary" : "replica" }, { "sequence", 1 }, { "born", 1'790'000'000'000ULL } };
    }

    const std::string id;
    const bool primary;
    /// Factor by which statements take longer.
    std::atomic<double> slowness { 1 };

private:
    struct Session {
        std::string tenant;
        char state = 'I';
        bool plain = false, wrote = false;
        std::map<std::string, std::string> values;
        std::map<std::string, std::pair<bool, std::string>> prepared; ///< writes, shape
    };

    void handle(Stream&);
    std::string run(Session&, const std::string& id, std::string text, double arrived);
    bool occupySlot(double work);
    uint64_t position() const;
    std::string ready(const Session&) const;

    Group& group;
    std::string ip;
    uint16_t port = 0;
    uint32_t slots;
    std::mutex mutex;
    std::condition_variable freed;
    std::deque<uint64_t> waiting;
    uint64_t lastTicket = 0;
    uint32_t busy = 0;
    std::atomic<uint32_t> connections { 0 };
};

/// A service: a primary and its replicas, with one log.
class Group {
public:
    Group(std::string name, DatabaseSettings settings, std::function<void(const Run&)> onRun)
        : name(std::move(name))
        , settings(settings)
        , onRun(std::move(onRun))
    {
    }

    uint64_t commit()
    {
        const std::lock_guard lock(this->mutex);
        this->commitTimes.push_back(nowMs());
        return this->commitTimes.size();
    }

    /// Number of the last commit that was made at least `ageMs` ago.
    uint64_t commits(double ageMs) const
    {
        const std::lock_guard lock(this->mutex);
        const auto end = std::upper_bound(this->commitTimes.begin(), this->commitTimes.end(), nowMs() - ageMs);
        return static_cast<uint64_t>(end - this->commitTimes.begin());
    }

    const std::string name;
    const DatabaseSettings settings;
    const std::function<void(const Run&)> onRun;
    std::vector<std::unique_ptr<Database>> databases;

private:
    mutable std::mutex mutex;
    std::vector<double> commitTimes;
};

inline Database::Database(Group& group, std::string id, const std::string& ip, bool primary)
    : id(std::move(id))
    , primary(primary)
    , group(group)
    , ip(ip)
    , slots(group.settings.slots)
{
    serve(listenOn(ip, this->port), [this](Stream& stream) { this->handle(stream); });
}

inline uint64_t Database::position() const { return this->group.commits(this->primary ? 0 : this->group.settings.applyLagMs); }

inline std::string Database::ready(const Session& session) const
{
    return std::string("READY ") + session.state + " 1." + std::to_string(this->position()) + "\r\n";
}

/// Waits in the queue for a slot and works there. Returns false if the queue is full.
inline bool Database::occupySlot(double work)
{
    {
        std::unique_lock lock(this->mutex);
        if (this->busy >= this->slots && this->waiting.size() >= this->group.settings.queue)
            return false;
        const uint64_t ticket = ++this->lastTicket;
        this->waiting.push_back(ticket);
        this->freed.wait(lock, [&] { return this->busy < this->slots && this->waiting.front() == ticket; });
        this->waiting.pop_front();
        ++this->busy;
        this->freed.notify_all();
    }
    sleepMs(work * this->slowness);
    const std::lock_guard lock(this->mutex);
    --this->busy;
    this->freed.notify_all();
    return true;
}

inline void Database::handle(Stream& stream)
{
    std::string line;
    if (stream.line(line) != Stream::Read::Line)
        return;
    char service[200] = "", tenant[200] = "", expected[200] = "";
    std::sscanf(line.c_str(), "CONNECT %199s %199s %199s", service, tenant, expected);
    if (this->group.name != service || (*expected && this->id != expected)) {
        stream.write("ERROR WRONGNODE " + this->id + "\r\n");
        return;
    }
    if (++this->connections > this->group.settings.maxConnections) {
        --this->connections;
        stream.write("ERROR TOOMANY too many connections\r\n");
        return;
    }
    Session session;
    session.tenant = tenant;
    if (!this->occupySlot(this->group.settings.handshakeMs)) {
        stream.write("ERROR BUSY queue is full\r\n");
    } else if (stream.write(this->ready(session))) {
        while (stream.line(line) == Stream::Read::Line && line != "BYE") {
            const double arrived = nowMs();
            const size_t first = line.find(' ');
            const size_t second = line.find(' ', first + 1);
            if (line.compare(0, 6, "QUERY ") || second == std::string::npos)
                break;
            const std::string id = line.substr(first + 1, second - first - 1);
            if (!stream.write(this->run(session, id, line.substr(second + 1), arrived) + this->ready(session)))
                break;
        }
    }
    --this->connections;
}

/// Runs one statement and returns its answer without READY.
inline std::string Database::run(Session& session, const std::string& id, std::string text, double arrived)
{
    static const std::string complete = "COMPLETE -\r\n";
    const auto word = [](const std::string& line, size_t index) {
        size_t start = 0;
        while (index-- && start != std::string::npos)
            start = line.find(' ', start) == std::string::npos ? std::string::npos : line.find(' ', start) + 1;
        return start == std::string::npos ? std::string() : line.substr(start, line.find(' ', start) - start);
    };
    const auto fail = [&session](const std::string& code) {
        if (session.state == 'T')
            session.state = 'E';
        return "ERROR " + code + "\r\n";
    };
    if (text == "ROLLBACK") {
        session.state = 'I';
        return complete;
    }
    if (session.state == 'E' && text != "COMMIT")
        return "ERROR MALFORMED the transaction has failed\r\n";
    if (word(text, 0) == "AFTER") {
        const std::string required = word(text, 1);
        if (std::stoull(required.substr(required.find('.') + 1)) > this->position())
            return fail("LAGGING 1." + std::to_string(this->position()));
        text = text.substr(text.find(' ', 6) + 1);
    }
    const std::string verb = word(text, 0);
    if (verb == "RESET") {
        session.values.clear();
        session.prepared.clear();
        return complete;
    }
    if (verb == "SET") {
        session.values[word(text, 1)] = text.substr(text.find(' ', 4) + 1);
        return complete;
    }
    if (verb == "PREPARE") {
        session.prepared[word(text, 1)] = { word(text, 2) == "WRITE", word(text, 3) };
        return complete;
    }
    if (verb == "DEALLOC") {
        session.prepared.erase(word(text, 1));
        return complete;
    }
    if (verb == "STATUS") {
        if (!this->occupySlot(0.5))
            return "ERROR BUSY queue is full\r\n";
        const std::string held = "1." + std::to_string(this->group.commits(0));
        return std::string("ROW ") + (this->primary ? "primary" : "replica") + " 1 " + held + " 0 "
            + (this->primary ? "0" : "8") + " " + std::to_string(this->busy) + " " + std::to_string(this->connections)
            + "\r\n" + complete;
    }
    if (verb == "BEGIN") {
        const bool plain = text == "BEGIN";
        if (session.state != 'I')
            return fail("MALFORMED a transaction is open");
        if (plain && !this->primary)
            return "ERROR READONLY " + this->id + "\r\n";
        session.state = 'T';
        session.plain = plain;
        session.wrote = false;
        return complete;
    }
    bool writes = verb == "WRITE";
    if (verb == "EXECUTE") {
        const auto prepared = session.prepared.find(word(text, 1));
        if (prepared == session.prepared.end())
            return fail("NOSTMT " + word(text, 1));
        writes = prepared->second.first;
    } else if (verb != "READ" && verb != "WRITE" && verb != "COMMIT") {
        return fail("MALFORMED unknown statement");
    }
    if (writes && !this->primary)
        return fail("READONLY " + this->id);
    Run done { this->id, session.tenant, id, text, arrived, 0, "" };
    if (verb == "COMMIT" && session.state != 'T') {
        session.state = 'I';
        return "ERROR MALFORMED no transaction\r\n";
    }
    const bool isOther = word(text, 1).compare(0, 1, "b") == 0;
    if (!this->occupySlot((isOther ? this->group.settings.otherWork : this->group.settings.work).sample()))
        return fail("BUSY queue is full");
    if (verb == "COMMIT") {
        if (session.wrote)
            this->group.commit();
        session.state = 'I';
    } else if (writes && session.state == 'T') {
        session.wrote = true;
    } else if (writes) {
        this->group.commit();
    }
    done.endedMs = nowMs();
    this->group.onRun(done);
    return (writes || verb == "COMMIT" ? std::string() : "ROW qhzkwmtrbelo\r\n") + "COMPLETE mac." + id + "\r\n";
}

// Programs and clients

/// Processes that run now, for the handler below.
inline std::atomic<pid_t> runningProcesses[32] {};

/// Ends the started processes and the script if it is told to stop, or runs for longer than it may.
inline void endEverything(int)
{
    for (const auto& process : runningProcesses) {
        if (const pid_t id = process)
            kill(id, SIGKILL);
    }
    _exit(2);
}

/// To be called first: a script runs for 120 s at most.
inline void limitRun()
{
    for (const int number : { SIGALRM, SIGTERM, SIGINT, SIGHUP })
        signal(number, endEverything);
    signal(SIGPIPE, SIG_IGN);
    alarm(118);
}

/// A machine of the system: a process of lavendervane-entryd with its settings file.
class Machine {
public:
    /// Starts the program of the deploy file in the repository root.
    Machine(std::string name, std::string zone, std::string ip, const std::string& folder, const Store& store,
        const std::string& cloudAddress, const std::vector<std::string>& zones)
        : name(std::move(name))
        , ip(std::move(ip))
        , frontPort(freePort(this->ip))
        , readyPort(freePort(this->ip))
    {
        const uint16_t control = freePort(this->ip), internal = freePort(this->ip);
        const std::string path = folder + "/" + this->name + ".conf";
        std::ofstream file(path);
        file << "node_name=" << this->name << "\nrole=entry\nmachine_class=front\nserves=front\nip=" << this->ip
             << "\nzone=" << zone << "\nregion=del-alfold\n";
        for (const std::string& other : zones)
            file << "zones." << other << "=del-alfold\n";
        file << "listen_addrs.front=" << this->ip << ":" << this->frontPort << "\nlisten_addrs.ready=" << this->ip << ":"
             << this->readyPort << "\nlisten_addrs.control=" << this->ip << ":" << control << "\ninternal_ports=" << internal
             << "," << internal + 15 << "\nseeds=" << this->ip << ":" << control
             << "\nbootstrap=true\ncounts_as_loss=false\nlimits.cpu_share=0.17\nlimits.cores=1\nlimits.memory_mb=182\n"
                "limits.max_fds=2940\nlimits.link_mbps=700.0\nlimits.disk_mb=0\ndiscovery=platform\nentry_point=vip\n"
                "heartbeat_ms=1200\ncontracts=base,drain,config,cost,recover,sql,tenants,quota,platform\n"
                "fault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\n"
                "bounds.reuse_after_s=2\nbounds.contact_ms=4000\nbounds.ack_timeout_ms=5000\nbounds.catch_up_s=4\n"
                "bounds.drain_ms=7000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\n"
                "bounds.rollback_slack_ms=250\nbounds.outer_ms=12000\nbounds.strict_revoke=false\nbounds.revoke_ms=5000\n"
                "bounds.quota_window_s=5\nbounds.quota_overage=0.1\nbounds.quota_slack=20\nbounds.recovery_s=12\n"
                "bounds.fencing_required=true\nbounds.thaw_slack_ms=300\nplatform.address="
             << store.address()
             << "\nplatform.form=table\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.tx_timeout_ms=6.0\n"
                "platform.part_writes_per_s=200\nplatform.max_row_bytes=65536\nplatform.cross_shard=false\n"
                "platform.history_s=20\ncloud.address="
             << cloudAddress << "\ncloud.rate_per_s=50.0\ncloud.duties=promotion\ncloud.duty_per_s=50.0\n";
        file.close();
        this->settingsPath = path;
        this->logPath = folder + "/" + this->name + ".log";
        this->start();
    }

    /// Starts the process, again after it has ended.
    void start()
    {
        const std::string variable = "LAVENDERVANE_NODE_FILE=" + this->settingsPath;
        std::vector<char*> variables;
        for (char** entry = environ; *entry; ++entry) {
            for (const char* kept : { "PATH=", "HOME=", "LANG=" }) {
                if (!std::strncmp(*entry, kept, std::strlen(kept)))
                    variables.push_back(*entry);
            }
        }
        variables.push_back(const_cast<char*>(variable.c_str()));
        variables.push_back(nullptr);
        char program[] = "target/lavendervane-entryd";
        char* arguments[] = { program, nullptr };
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        posix_spawnattr_t attributes;
        posix_spawnattr_init(&attributes);
        sigset_t defaults;
        sigemptyset(&defaults);
        sigaddset(&defaults, SIGPIPE);
        posix_spawnattr_setsigdefault(&attributes, &defaults);
        posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
        if (posix_spawn(&this->process, program, &actions, &attributes, arguments, variables.data())) {
            std::fprintf(stderr, "cannot start %s\n", program);
            std::exit(2);
        }
        posix_spawnattr_destroy(&attributes);
        posix_spawn_file_actions_destroy(&actions);
        for (auto& entry : runningProcesses) {
            pid_t none = 0;
            if (entry.compare_exchange_strong(none, this->process))
                break;
        }
    }

    ~Machine() { this->end(); }

    /// Kills the process if it runs.
    void end()
    {
        if (this->process > 0) {
            kill(this->process, SIGKILL);
            waitpid(this->process, nullptr, 0);
        }
        this->forget();
    }
    Machine(const Machine&) = delete;
    Machine& operator=(const Machine&) = delete;

    void signal(int number) const { kill(this->process, number); }

    bool hasEnded()
    {
        if (this->process > 0 && waitpid(this->process, nullptr, WNOHANG) == this->process)
            this->forget();
        return this->process <= 0;
    }

    bool isReady() const
    {
        const auto stream = Stream::connectTo(this->ip, this->readyPort);
        std::string line;
        return stream && stream->write("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            && stream->line(line, nowMs() + 1000) == Stream::Read::Line && line.find(" 200") != std::string::npos;
    }

    const std::string name, ip;
    const uint16_t frontPort, readyPort;

private:
    void forget()
    {
        for (auto& entry : runningProcesses) {
            pid_t own = this->process;
            if (own > 0)
                entry.compare_exchange_strong(own, 0);
        }
        this->process = 0;
    }

    std::string settingsPath, logPath;
    pid_t process = 0;
};

/// Result of one statement of a client.
struct Answer {
    bool complete = false; ///< the answer has arrived as a whole
    bool timedOut = false; ///< no answer until the limit; otherwise the connection has ended
    std::string code; ///< empty for success
    std::string mac;
    char state = 'I';
};

/// A session of a client.
class Client {
public:
    /// Returns false if the session was not opened; `code` then tells why.
    bool open(const Machine& machine, const std::string& database, const std::string& key, std::string& code)
    {
        code = "no connection";
        this->stream = Stream::connectTo(machine.ip, machine.frontPort);
        std::string line;
        if (!this->stream || !this->stream->write("CONNECT " + database + " " + key + "\r\n")
            || this->stream->line(line, nowMs() + 2000) != Stream::Read::Line)
            return false;
        code = line;
        return line.compare(0, 6, "READY ") == 0;
    }

    Answer query(const std::string& id, const std::string& text, double limitMs = 10'000)
    {
        Answer answer;
        if (!this->stream || !this->stream->write("QUERY " + id + " " + text + "\r\n"))
            return answer;
        const double deadline = nowMs() + limitMs;
        std::string line;
        while (true) {
            const auto read = this->stream->line(line, deadline);
            if (read != Stream::Read::Line) {
                answer.timedOut = read == Stream::Read::TimedOut;
                return answer;
            }
            if (!line.compare(0, 6, "READY ")) {
                answer.state = line[6];
                answer.complete = true;
                return answer;
            }
            if (!line.compare(0, 9, "COMPLETE "))
                answer.mac = line.substr(9);
            if (!line.compare(0, 6, "ERROR "))
                answer.code = line.substr(6, line.find(' ', 6) - 6);
        }
    }

    void bye()
    {
        if (this->stream)
            this->stream->write("BYE\r\n");
        this->stream.reset();
    }

private:
    std::unique_ptr<Stream> stream;
};

inline std::string nextId()
{
    static std::atomic<uint64_t> last { 0 };
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(0x5c0e000000000000ULL + ++last));
    return text;
}

/// Part of a loopback address that differs between runs at the same time.
inline std::string loopbackPrefix()
{
    const unsigned number = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + number / 250 % 250) + "." + std::to_string(1 + number % 250) + ".";
}

inline bool waitUntilReady(const std::vector<std::unique_ptr<Machine>>& machines, double limitMs)
{
    const double end = nowMs() + limitMs;
    for (const auto& machine : machines) {
        while (!machine->isReady()) {
            if (nowMs() > end)
                return false;
            sleepMs(100);
        }
    }
    return true;
}

inline bool hasTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

/// Answers every call to the platform's duties with 503: no case needs a promotion, and each one that is asked for is
/// recorded.
class Cloud {
public:
    Cloud(const std::string& ip, Record& record)
        : ip(ip)
    {
        serve(listenOn(ip, this->port), [&record](Stream& stream) {
            HttpCall call;
            while (readHttpCall(stream, call)) {
                record.line("platform: %s %s %s answered 503", call.method.c_str(), call.path.c_str(), call.body.c_str());
                if (!writeHttpAnswer(stream, 503, "{}"))
                    return;
            }
        });
    }
    std::string address() const { return this->ip + ":" + std::to_string(this->port); }

private:
    std::string ip;
    uint16_t port = 0;
};

} // namespace standin
