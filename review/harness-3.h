// Stand-ins of the cases 11 to 15: the platform's store and duty service, a service of databases, and clients. They
// follow PROTOCOL.md. All is kept in this one process and in memory; each connection has a thread.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review3 {

using Json = nlohmann::json;
using Lock = std::unique_lock<std::mutex>;

inline int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// record.txt: what was sent, answered and run, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
        , start(steadyMs())
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->file << steadyMs() - this->start << " " << text << "\n";
        this->file.flush();
    }
    /// Also shown on the screen.
    void note(const std::string& text)
    {
        this->line("# " + text);
        std::cout << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    int64_t start;
};

inline std::string addressPrefix()
{
    const auto number = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + number / 250 % 250) + "." + std::to_string(1 + number % 250) + ".";
}

inline sockaddr_in makeAddress(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string& ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = makeAddress(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) || listen(fd, 512)) {
        close(fd);
        return -1;
    }
    return fd;
}

inline int portOf(int fd)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/// Finds a port that is free at the address, and below those that the system gives to connections.
inline int freePort(const std::string& ip)
{
    static int next = 10'000 + static_cast<int>(getpid()) % 20'000;
    while (true) {
        next = next < 30'000 ? next + 1 : 10'000;
        const int fd = listenOn(ip, next);
        if (fd < 0)
            continue;
        close(fd);
        return next;
    }
}

/// Ports of the machines; they are the same on all of them.
struct MachinePorts {
    int front = 0;
    int ready = 0;
    int metrics = 0;
    int internal = 0; ///< first one
};

inline bool writeAll(int fd, const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

/// Buffered reads from a socket.
class Reader {
public:
    explicit Reader(int fd)
        : fd(fd)
    {
    }
    /// Reads up to the next CR LF. Returns nothing at the end of the connection or after `limitMs`, if that is not 0.
    std::optional<std::string> line(int64_t limitMs = 0)
    {
        const int64_t end = steadyMs() + limitMs;
        size_t searched = 0;
        while (true) {
            const size_t found = this->bytes.find("\r\n", searched ? searched - 1 : 0);
            if (found != std::string::npos) {
                std::string text = this->bytes.substr(0, found);
                this->bytes.erase(0, found + 2);
                return text;
            }
            searched = this->bytes.size();
            if (!this->more(limitMs ? std::max<int64_t>(end - steadyMs(), 0) : -1))
                return std::nullopt;
        }
    }
    std::optional<std::string> take(size_t count)
    {
        while (this->bytes.size() < count) {
            if (!this->more(-1))
                return std::nullopt;
        }
        std::string text = this->bytes.substr(0, count);
        this->bytes.erase(0, count);
        return text;
    }

private:
    bool more(int64_t limitMs)
    {
        pollfd entry { this->fd, POLLIN, 0 };
        if (poll(&entry, 1, static_cast<int>(limitMs)) <= 0)
            return false;
        static thread_local char buffer[65536];
        const ssize_t count = recv(this->fd, buffer, sizeof buffer, 0);
        if (count <= 0)
            return false;
        this->bytes.append(buffer, static_cast<size_t>(count));
        return true;
    }

    int fd;
    std::string bytes;
};

/// Accepts connections and serves each on a thread of its own. Can be closed, which resets all connections, and opened
/// again at the same address.
class Server {
public:
    Server(std::string ip, std::function<void(int fd)> serve)
        : ip(std::move(ip))
        , serve(std::move(serve))
    {
    }
    bool open()
    {
        const int fd = listenOn(this->ip, this->port);
        if (fd < 0)
            return false;
        this->port = portOf(fd);
        const Lock lock(this->mutex);
        this->listener = fd;
        std::thread([this, fd] { this->acceptLoop(fd); }).detach();
        return true;
    }
    /// As when the process ends: its connections are reset, and none is accepted.
    void shut()
    {
        const Lock lock(this->mutex);
        if (this->listener >= 0)
            shutdown(this->listener, SHUT_RDWR);
        this->listener = -1;
        for (const int fd : this->connections) {
            const linger reset { 1, 0 };
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(fd, SHUT_RDWR);
        }
    }
    size_t connectionCount()
    {
        const Lock lock(this->mutex);
        return this->connections.size();
    }
    std::string address() const { return this->ip + ":" + std::to_string(this->port); }

private:
    void acceptLoop(int listening)
    {
        while (true) {
            const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                break;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const Lock lock(this->mutex);
                if (this->listener != listening) {
                    close(fd);
                    break;
                }
                this->connections.insert(fd);
            }
            std::thread([this, fd] {
                this->serve(fd);
                const Lock lock(this->mutex);
                this->connections.erase(fd);
                close(fd);
            }).detach();
        }
        close(listening);
    }

    std::string ip;
    std::function<void(int)> serve;
    std::mutex mutex;
    int port = 0;
    int listener = -1;
    std::set<int> connections;
};

struct HttpCall {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct HttpReply {
    int status = 200;
    std::string body = "{}";
};

inline void serveHttp(int fd, const std::function<HttpReply(const HttpCall&)>& handle)
{
    Reader reader(fd);
    while (true) {
        const auto first = reader.line();
        if (!first)
            return;
        HttpCall call;
        std::istringstream words(*first);
        words >> call.method >> call.target;
        while (true) {
            const auto header = reader.line();
            if (!header)
                return;
            if (header->empty())
                break;
            std::string name = header->substr(0, header->find(':'));
            std::transform(name.begin(), name.end(), name.begin(), [](char letter) { return std::tolower(letter); });
            size_t from = header->find(':') + 1;
            while (from < header->size() && (*header)[from] == ' ')
                ++from;
            call.headers[name] = header->substr(from);
        }
        if (const auto length = call.headers.find("content-length"); length != call.headers.end()) {
            const auto body = reader.take(std::stoul(length->second));
            if (!body)
                return;
            call.body = *body;
        }
        const HttpReply reply = handle(call);
        if (!writeAll(fd,
                "HTTP/1.1 " + std::to_string(reply.status)
                    + " Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
                    + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body))
            return;
        if (call.headers.count("connection") && call.headers["connection"] == "close")
            return;
    }
}

inline std::string encodeBase64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t at = 0; at < bytes.size(); at += 3) {
        uint32_t group = 0;
        for (size_t index = 0; index < 3; ++index)
            group = group << 8 | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0);
        for (size_t index = 0; index < 4; ++index)
            text += at + index <= bytes.size() ? digits[group >> (18 - 6 * index) & 63] : '=';
    }
    return text;
}

inline std::string decodeBase64(const std::string& text)
{
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    uint32_t group = 0;
    int bits = 0;
    for (const char digit : text) {
        const size_t value = digits.find(digit);
        if (value == std::string::npos)
            break;
        group = group << 6 | static_cast<uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

/// The platform's store, as far as its rows are used.
class Store {
public:
    explicit Store(const std::string& ip)
        : server(ip, [this](int fd) { serveHttp(fd, [this](const HttpCall& call) { return this->handle(call); }); })
    {
        this->server.open();
    }
    std::string address() const { return this->server.address(); }

    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        const Lock lock(this->mutex);
        this->rows[{ table, key }] = { value, ++this->version, false };
        this->changed.notify_all();
    }
    void remove(const std::string& table, const std::string& key)
    {
        const Lock lock(this->mutex);
        const auto found = this->rows.find({ table, key });
        if (found == this->rows.end() || found->second.deleted)
            return;
        found->second = { "", ++this->version, true };
        this->changed.notify_all();
    }
    std::string value(const std::string& table, const std::string& key)
    {
        const Lock lock(this->mutex);
        const auto found = this->rows.find({ table, key });
        return found == this->rows.end() ? "" : found->second.value;
    }

private:
    struct Row {
        std::string value;
        uint64_t version = 0;
        bool deleted = false;
    };

    static std::map<std::string, std::string> parameters(const std::string& target)
    {
        std::map<std::string, std::string> found;
        const size_t question = target.find('?');
        std::istringstream parts(question == std::string::npos ? "" : target.substr(question + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            const size_t equals = part.find('=');
            std::string text;
            for (size_t at = equals + 1; equals != std::string::npos && at < part.size(); ++at) {
                if (part[at] == '%') {
                    text += static_cast<char>(std::stoi(part.substr(at + 1, 2), nullptr, 16));
                    at += 2;
                } else {
                    text += part[at];
                }
            }
            found[part.substr(0, equals)] = text;
        }
        return found;
    }

    static Json describe(const std::string& table, const std::string& key, const Row& row)
    {
        Json json { { "table", table }, { "part", "" }, { "key", key }, { "ver", row.version } };
        if (row.deleted)
            json["deleted"] = true;
        else
            json["value"] = encodeBase64(row.value);
        return json;
    }

    HttpReply reply(int status, Json rows, bool hasMore = false)
    {
        return { status,
            Json { { "rows", std::move(rows) }, { "has_more", hasMore }, { "ver", this->version },
                { "now_ms", steadyMs() } }
                .dump() };
    }

    HttpReply handle(const HttpCall& call)
    {
        auto given = parameters(call.target);
        if (call.target.starts_with("/-/rows-get")) {
            const Lock lock(this->mutex);
            Json rows = Json::array();
            const size_t limit = given.count("limit") ? std::stoul(given["limit"]) : 500;
            for (const auto& [id, row] : this->rows) {
                if (id.first != given["table"] || row.deleted || id.second < given["from"]
                    || (!given["to"].empty() && id.second >= given["to"]))
                    continue;
                if (rows.size() >= limit)
                    return this->reply(200, std::move(rows), true);
                rows.push_back(describe(id.first, id.second, row));
            }
            return this->reply(200, std::move(rows));
        }
        if (call.target.starts_with("/-/rows-feed")) {
            const uint64_t after = std::stoull(given["after"]);
            const int64_t end = steadyMs() + std::min<int64_t>(std::stoll(given["wait_ms"]), 30'000);
            Lock lock(this->mutex);
            while (true) {
                std::map<uint64_t, Json> rows;
                for (const auto& [id, row] : this->rows) {
                    if (id.first == given["table"] && row.version > after)
                        rows[row.version] = describe(id.first, id.second, row);
                }
                if (!rows.empty() || steadyMs() >= end) {
                    Json list = Json::array();
                    for (auto& [number, row] : rows)
                        list.push_back(std::move(row));
                    return this->reply(200, std::move(list));
                }
                this->changed.wait_for(lock, std::chrono::milliseconds(end - steadyMs()));
            }
        }
        if (call.target.starts_with("/-/rows-tx")) {
            const Json body = Json::parse(call.body);
            const Lock lock(this->mutex);
            bool holds = true;
            Json present = Json::array();
            for (const Json& expected : body.at("expected")) {
                const std::string table = expected.at("table");
                const std::string key = expected.at("key");
                const auto row = this->rows.find({ table, key });
                const bool exists = row != this->rows.end() && !row->second.deleted;
                holds = holds && expected.at("ver") == (exists ? row->second.version : 0);
                if (exists)
                    present.push_back(describe(table, key, row->second));
            }
            if (!holds)
                return this->reply(412, std::move(present));
            ++this->version;
            for (const Json& row : body.at("set_keys"))
                this->rows[{ row.at("table"), row.at("key") }] = { decodeBase64(row.at("value")), this->version, false };
            for (const Json& row : body.at("delete_keys"))
                this->rows[{ row.at("table"), row.at("key") }] = { "", this->version, true };
            this->changed.notify_all();
            return { 200, Json { { "ver", this->version }, { "now_ms", steadyMs() } }.dump() };
        }
        return { 404, "{}" };
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, Row> rows;
    uint64_t version = 0;
    Server server;
};

struct Commit {
    uint64_t term = 0;
    uint64_t number = 0;
    std::vector<std::string> writes; ///< ids of the writes
    bool operator==(const Commit& other) const { return this->term == other.term && this->number == other.number; }
};

/// A statement that a database has run for a client.
struct Run {
    std::string id;
    std::string text;
    std::string database;
    std::string tenant;
    bool isWrite = false;
    bool isCommit = false;
    int64_t atMs = 0;
    std::map<std::string, std::string> values; ///< session values of the connection
};

class Service;

/// A database of a service.
class Database {
public:
    Database(Service& service, std::string id, std::string zone, const std::string& ip, bool leads);

    Service& service;
    const std::string id;
    const std::string zone;
    // The following are protected by the service's mutex.
    bool isRunning = true;
    bool leads = false;
    bool isDeaf = false; ///< receives nothing from the primary
    bool isCutFromStore = false;
    uint64_t term = 1;
    uint64_t heldTerm = 0;
    uint64_t sequence = 0;
    uint64_t incarnation = 0;
    int64_t born = unixMs();
    int64_t lastBeat = 0;
    std::string lastEntry;
    std::vector<Commit> log;

    std::string address() const { return this->server.address(); }
    std::string position() const
    {
        return this->log.empty() ? "0.0"
                                 : std::to_string(this->log.back().term) + "." + std::to_string(this->log.back().number);
    }

private:
    friend class Service;
    struct Session {
        std::string tenant;
        char state = 'I';
        bool isReadOnly = false;
        std::vector<std::string> writes;
        std::map<std::string, bool> prepared; ///< true for a write
        std::map<std::string, std::string> values;
        uint64_t incarnation = 0;
    };
    void serve(int fd);
    std::string run(Session&, const std::string& id, std::string text, Lock&);
    std::string statusRow();
    Server server;
};

/// The databases of a service, their replication, their registration, and the platform's duty `promotion`.
class Service {
public:
    Service(const std::string& prefix, Store& store, Record& record, std::string name, uint32_t synchronousReplicas,
        const std::vector<std::string>& zones, int64_t promoteMs)
        : store(store)
        , record(record)
        , name(std::move(name))
        , synchronousReplicas(synchronousReplicas)
        , promoteMs(promoteMs)
        , duty(prefix + "202",
              [this](int fd) { serveHttp(fd, [this](const HttpCall& call) { return this->handleDuty(call); }); })
    {
        for (size_t index = 0; index < zones.size(); ++index)
            this->databases.push_back(std::make_unique<Database>(*this, "i-" + std::to_string(index + 1) + "f3a91c",
                zones[index], prefix + std::to_string(101 + index), index == 0));
        this->duty.open();
        std::thread([this] {
            while (!this->isStopping) {
                this->replicate();
                this->beat();
                sleepMs(1);
            }
        }).detach();
    }
    std::string dutyAddress() const { return this->duty.address(); }
    Database& at(size_t index) { return *this->databases[index]; }
    void stop() { this->isStopping = true; }

    /// The database ends, as if killed.
    void crash(Database& database)
    {
        {
            const Lock lock(this->mutex);
            database.isRunning = false;
            ++database.incarnation;
            this->changed.notify_all();
        }
        database.server.shut();
        this->record.line("database " + database.id + " crashes at " + database.position());
    }
    /// The database starts again, with its log or under its id as a new one that knows nothing.
    void restart(Database& database, bool knowsNothing)
    {
        {
            const Lock lock(this->mutex);
            database.heldTerm = 0;
            if (knowsNothing) {
                database.log.clear();
                database.term = 0;
                database.sequence = 0;
                database.leads = false;
            }
            database.born = unixMs();
            database.isRunning = true;
            database.lastBeat = 0;
        }
        while (!database.server.open())
            sleepMs(5);
        this->record.line("database " + database.id + " starts again, position " + database.position());
    }
    bool hasCommit(const Database& database, const std::string& write) const
    {
        return std::any_of(database.log.begin(), database.log.end(), [&write](const Commit& commit) {
            return std::find(commit.writes.begin(), commit.writes.end(), write) != commit.writes.end();
        });
    }

    std::mutex mutex;
    std::condition_variable changed;
    Store& store;
    Record& record;
    const std::string name;
    const uint32_t synchronousReplicas;
    const int64_t promoteMs;
    size_t maxConnections = 36;
    std::vector<std::unique_ptr<Database>> databases;
    std::atomic<bool> isStopping { false };
    std::atomic<uint64_t> lastMac { 0 };
    std::vector<Run> runs;
    bool recordsReads = true;
    std::atomic<int64_t> workMs { 0 }; ///< of each statement
    /// Called with the mutex held when a database takes the lead.
    std::function<void(Database& leader, uint64_t token, const std::string& holder)> onPromotion;

private:
    friend class Database;

    // Replicas receive the primary's log, and drop what it lacks.
    void replicate()
    {
        const Lock lock(this->mutex);
        const auto primary = std::find_if(this->databases.begin(), this->databases.end(),
            [](const auto& database) { return database->leads && database->isRunning; });
        if (primary == this->databases.end())
            return;
        const std::vector<Commit>& log = (*primary)->log;
        for (const auto& replica : this->databases) {
            if (replica == *primary || !replica->isRunning || replica->isDeaf || replica->heldTerm)
                continue;
            std::vector<Commit>& own = replica->log;
            size_t common = std::min(own.size(), log.size());
            while (common && !(own[common - 1] == log[common - 1]))
                --common;
            own.resize(common);
            own.insert(own.end(), log.begin() + static_cast<std::ptrdiff_t>(common), log.end());
            replica->term = (*primary)->term;
        }
        this->changed.notify_all();
    }

    void beat()
    {
        static constexpr int64_t interval = 1200;
        const Lock lock(this->mutex);
        const int64_t now = steadyMs();
        for (const auto& database : this->databases) {
            if (database->lastBeat && now - database->lastBeat > 3 * interval && !database->lastEntry.empty()) {
                database->lastEntry.clear();
                this->store.remove("servers", database->id);
                this->record.line("entry of " + database->id + " has expired");
            }
            Json entry { { "service", this->name }, { "address", database->address() }, { "zone", database->zone },
                { "version", "v1" }, { "slots", 3 }, { "state", "ready" }, { "cold_remaining_ms", 0 },
                { "db_role", database->leads ? "primary" : "replica" }, { "born", database->born } };
            const std::string text = entry.dump();
            const bool isDue = !database->lastBeat || now - database->lastBeat >= interval;
            const bool hasChanged = text != database->lastEntry;
            if (!database->isRunning || database->isCutFromStore || (!isDue && !hasChanged))
                continue;
            database->lastBeat = now;
            ++database->sequence;
            // The entry changes when more than the sequence changes.
            if (!hasChanged)
                continue;
            database->lastEntry = text;
            entry["sequence"] = database->sequence;
            this->store.put("servers", database->id, entry.dump());
            this->record.line("entry of " + database->id + ": " + entry.dump());
        }
    }

    HttpReply handleDuty(const HttpCall& call)
    {
        if (call.method != "POST" || call.target != "/promote")
            return { 404, "{}" };
        const Json body = Json::parse(call.body);
        const uint64_t token = std::stoull(call.headers.at("x-fencing-token"));
        const std::string holder = call.headers.at("x-duty-holder");
        const Lock lock(this->mutex);
        const auto found = std::find_if(this->databases.begin(), this->databases.end(),
            [&body](const auto& database) { return database->id == body.at("id"); });
        const bool isRefused = body.at("service") != this->name || token < this->newestToken
            || found == this->databases.end() || !(*found)->isRunning;
        this->record.line("promote " + body.dump() + " by " + holder + " token " + std::to_string(token) + ": "
            + (isRefused ? "409" : "200"));
        if (isRefused)
            return { 409, "{}" };
        this->newestToken = token;
        if ((*found)->leads)
            return { 200, "{}" };
        std::thread([this, database = found->get(), token, holder] {
            sleepMs(this->promoteMs);
            const Lock later(this->mutex);
            if (!database->isRunning || token < this->newestToken)
                return;
            uint64_t newest = 0;
            for (const auto& other : this->databases) {
                newest = std::max(newest, other->term);
                other->leads = false;
                other->heldTerm = 0;
            }
            this->newestTerm = std::max(this->newestTerm, newest) + 1;
            database->leads = true;
            database->term = this->newestTerm;
            this->record.line("database " + database->id + " leads term " + std::to_string(database->term) + " from "
                + database->position());
            if (this->onPromotion)
                this->onPromotion(*database, token, holder);
            this->changed.notify_all();
        }).detach();
        return { 200, "{}" };
    }

    uint64_t newestToken = 0;
    uint64_t newestTerm = 1;
    Server duty;
};

inline Database::Database(Service& service, std::string id, std::string zone, const std::string& ip, bool leads)
    : service(service)
    , id(std::move(id))
    , zone(std::move(zone))
    , leads(leads)
    , server(ip, [this](int fd) { this->serve(fd); })
{
    this->server.open();
}

inline std::string takeWord(std::string& rest)
{
    const size_t end = rest.find(' ');
    std::string word = rest.substr(0, end);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
    return word;
}

inline std::string Database::statusRow()
{
    return std::string("ROW ") + (this->leads ? "primary " : "replica ") + std::to_string(this->term) + " "
        + this->position() + " " + std::to_string(this->heldTerm) + " 0 0 "
        + std::to_string(this->server.connectionCount()) + "\r\n";
}

inline void Database::serve(int fd)
{
    Reader reader(fd);
    auto message = reader.line();
    if (!message)
        return;
    std::string rest = *message;
    const std::string verb = takeWord(rest);
    const std::string serviceName = takeWord(rest);
    Session session;
    session.tenant = takeWord(rest);
    if (verb != "CONNECT" || serviceName != this->service.name || (!rest.empty() && rest != this->id)) {
        writeAll(fd, "ERROR WRONGNODE " + this->id + "\r\n");
        return;
    }
    if (this->server.connectionCount() > this->service.maxConnections) {
        writeAll(fd, "ERROR TOOMANY too many connections\r\n");
        return;
    }
    {
        const Lock lock(this->service.mutex);
        session.incarnation = this->incarnation;
        if (!this->isRunning)
            return;
        rest = "READY I " + this->position() + "\r\n";
    }
    sleepMs(2);
    if (!writeAll(fd, rest))
        return;
    while ((message = reader.line())) {
        rest = *message;
        if (takeWord(rest) != "QUERY")
            return;
        const std::string query = takeWord(rest);
        std::string answer;
        if (this->service.workMs)
            sleepMs(this->service.workMs);
        {
            Lock lock(this->service.mutex);
            if (!this->isRunning || session.incarnation != this->incarnation)
                return;
            answer = this->run(session, query, rest, lock);
            if (answer.empty() || !this->isRunning || session.incarnation != this->incarnation)
                return; // crashed, or the answer is lost with the lead
            answer += std::string("READY ") + session.state + " " + this->position() + "\r\n";
        }
        if (!writeAll(fd, answer))
            return;
    }
}

inline std::string Database::run(Session& session, const std::string& query, std::string text, Lock& lock)
{
    const auto fail = [&session](const std::string& codeAndText) {
        if (session.state == 'T')
            session.state = 'E';
        return "ERROR " + codeAndText + "\r\n";
    };
    const std::string done = "COMPLETE -\r\n";
    std::string rest = text;
    std::string verb = takeWord(rest);
    if (verb == "ROLLBACK" || (verb == "COMMIT" && session.state == 'E')) {
        session.state = 'I';
        session.writes.clear();
        return verb == "ROLLBACK" ? done : fail("ABORTED the transaction has failed");
    }
    if (session.state == 'E')
        return fail("MALFORMED the transaction has failed");
    if (verb == "AFTER") {
        const std::string wanted = takeWord(rest);
        const uint64_t term = std::stoull(wanted);
        const uint64_t number = std::stoull(wanted.substr(wanted.find('.') + 1));
        const Commit newest = this->log.empty() ? Commit {} : this->log.back();
        if (std::make_pair(newest.term, newest.number) < std::make_pair(term, number))
            return fail("LAGGING " + this->position());
        text = rest;
        verb = takeWord(rest);
    }
    if (verb == "STATUS")
        return this->statusRow() + done;
    if (verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
        const uint64_t given = rest.empty() ? 0 : std::stoull(rest);
        if (verb == "PAUSE" && !this->leads && given > std::max(this->term, this->heldTerm))
            this->heldTerm = given;
        else if (verb == "RESUME")
            this->heldTerm = 0;
        else if (verb == "STEPDOWN" && this->leads && given > this->term)
            this->leads = false;
        this->service.record.line(this->id + " " + verb + " " + std::to_string(given) + " -> " + this->statusRow());
        return this->statusRow() + done;
    }
    if (verb == "BEGIN") {
        if (session.state != 'I')
            return fail("MALFORMED a transaction is open");
        session.isReadOnly = rest == "READ";
        if (!session.isReadOnly && !this->leads)
            return fail("READONLY " + this->id);
        session.state = 'T';
        session.writes.clear();
        return done;
    }
    if (verb == "SET") {
        const std::string name = takeWord(rest);
        // Long values serve to fill memory elsewhere, not here.
        session.values[name] = rest.substr(0, 40);
        return done;
    }
    if (verb == "RESET") {
        session.prepared.clear();
        session.values.clear();
        return done;
    }
    if (verb == "DEALLOC") {
        session.prepared.erase(rest);
        return done;
    }
    if (verb == "PREPARE") {
        const std::string statement = takeWord(rest);
        const std::string effect = takeWord(rest);
        session.prepared[statement] = effect == "WRITE";
        return done;
    }
    bool isWrite = verb == "WRITE";
    if (verb == "EXECUTE") {
        const auto known = session.prepared.find(takeWord(rest));
        if (known == session.prepared.end())
            return fail("NOSTMT no such name");
        isWrite = known->second;
    } else if (verb != "READ" && verb != "WRITE" && verb != "COMMIT") {
        return fail("MALFORMED unknown statement");
    }
    const bool isPlain = session.state == 'T' && !session.isReadOnly;
    const bool hasWork = !session.writes.empty();
    if (!this->leads && (isWrite || (isPlain && (verb != "COMMIT" || hasWork))))
        return fail("READONLY " + this->id);
    if (isWrite && session.state == 'T' && session.isReadOnly)
        return fail("READONLY " + this->id);
    if (isWrite || verb == "COMMIT" || this->service.recordsReads)
        this->service.runs.push_back(
            { query, text.substr(0, 80), this->id, session.tenant, isWrite, verb == "COMMIT", steadyMs(),
                session.values });
    std::vector<std::string> writes;
    if (verb == "COMMIT") {
        if (session.state != 'T')
            return fail("MALFORMED no transaction");
        writes = std::exchange(session.writes, {});
        session.state = 'I';
    } else if (isWrite && session.state == 'T') {
        session.writes.push_back(query);
    } else if (isWrite) {
        writes = { query };
    }
    if (!writes.empty()) {
        const Commit commit { this->term, this->log.empty() ? 1 : this->log.back().number + 1, writes };
        this->log.push_back(commit);
        const size_t size = this->log.size();
        const uint64_t own = this->incarnation;
        const auto isStored = [&] {
            const auto count = std::count_if(this->service.databases.begin(), this->service.databases.end(),
                [&](const auto& replica) {
                    return replica.get() != this && replica->isRunning && replica->log.size() >= size
                        && replica->log[size - 1] == commit;
                });
            return static_cast<uint32_t>(count) >= this->service.synchronousReplicas;
        };
        this->service.changed.wait_for(lock, std::chrono::seconds(20), [&] {
            return !this->isRunning || own != this->incarnation || !this->leads || isStored();
        });
        if (!this->isRunning || own != this->incarnation || !this->leads || !isStored())
            return {};
        std::string ids;
        for (const std::string& write : writes)
            ids += " " + write;
        this->service.record.line(this->id + " commits " + std::to_string(commit.term) + "."
            + std::to_string(commit.number) + " tenant " + session.tenant + ids);
    }
    const std::string mac = std::to_string(++this->service.lastMac) + "." + this->id.substr(2);
    return (verb == "READ" || (verb == "EXECUTE" && !isWrite) ? "ROW " + query + "\r\n" : "") + "COMPLETE " + mac
        + "\r\n";
}

/// A process of the deploy file.
class Machine {
public:
    Machine(std::string name, std::string zone, std::string ip, const MachinePorts& ports, std::string folder)
        : name(std::move(name))
        , zone(std::move(zone))
        , ip(std::move(ip))
        , ports(ports)
        , folder(std::move(folder))
    {
    }
    void writeSettings(const std::string& storeAddress, const std::string& dutyAddress, const std::string& zones)
    {
        std::ofstream(this->folder + "/" + this->name + ".conf")
            << "node_name=" << this->name << "\nrole=entry\nmachine_class=front\nserves=front\nip=" << this->ip
            << "\nzone=" << this->zone << "\nregion=main\n"
            << zones << "listen_addrs.front=" << this->ip << ":" << this->ports.front << "\nlisten_addrs.ready="
            << this->ip << ":" << this->ports.ready << "\ninternal_ports=" << this->ports.internal << ","
            << this->ports.internal + 15 << "\nbootstrap=true\nlimits.cpu_share=0.17\nlimits.cores=1\n"
               "limits.memory_mb=182\nlimits.max_fds=2940\nlimits.link_mbps=700.0\nlimits.disk_mb=0\n"
               "discovery=platform\nentry_point=vip\nheartbeat_ms=1200\n"
               "contracts=base,drain,config,cost,recover,sql,tenants,quota,platform\n"
               "bounds.contact_ms=4000\nbounds.ack_timeout_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=7000\n"
               "bounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\n"
               "bounds.rollback_slack_ms=250\nbounds.outer_ms=12000\nbounds.quota_window_s=5\n"
               "bounds.quota_overage=0.1\nbounds.quota_slack=20\nbounds.recovery_s=12\n"
               "bounds.fencing_required=true\nplatform.address="
            << storeAddress
            << "\nplatform.form=table\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
               "platform.max_row_bytes=65536\nplatform.history_s=20\ncloud.address="
            << dutyAddress << "\ncloud.duties=promotion\ncloud.duty_per_s=50.0\n";
    }
    void start()
    {
        const std::string settings = this->folder + "/" + this->name + ".conf";
        const std::string output = this->folder + "/" + this->name + ".log";
        const pid_t parent = getpid();
        this->pid = fork();
        if (this->pid)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        setenv("LAVENDERVANE_NODE_FILE", settings.c_str(), 1);
        setenv("LAVENDERVANE_METRICS_PORT", std::to_string(this->ports.metrics).c_str(), 1);
        const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, 1);
        dup2(fd, 2);
        execl("target/lavendervane-entryd", "target/lavendervane-entryd", static_cast<char*>(nullptr));
        _exit(127);
    }
    bool hasEnded()
    {
        if (this->pid <= 0)
            return true;
        if (waitpid(this->pid, nullptr, WNOHANG) != this->pid)
            return false;
        this->pid = -1;
        return true;
    }
    void kill()
    {
        if (this->pid <= 0)
            return;
        ::kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }
    size_t residentBytes() const
    {
        std::ifstream status("/proc/" + std::to_string(this->pid) + "/statm");
        size_t total = 0;
        size_t resident = 0;
        status >> total >> resident;
        return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
    }
    bool isReady() const
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = makeAddress(this->ip, this->ports.ready);
        bool ready = false;
        if (!connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address)
            && writeAll(fd, "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            const auto line = Reader(fd).line(500);
            ready = line && line->find(" 200 ") != std::string::npos;
        }
        close(fd);
        return ready;
    }

    const std::string name;
    const std::string zone;
    const std::string ip;
    const MachinePorts ports;

private:
    std::string folder;
    pid_t pid = -1;
};

struct Answer {
    std::string code; ///< "DONE", the code of an error, or "NONE" if there is no complete answer
    std::string text;
    char state = '?';
    bool isDone() const { return this->code == "DONE"; }
};

/// Session of a client.
class Client {
public:
    ~Client() { this->end(); }

    Answer connectTo(const Machine& machine, const std::string& database, const std::string& key)
    {
        this->end();
        this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const sockaddr_in address = makeAddress(machine.ip, machine.ports.front);
        if (connect(this->fd, reinterpret_cast<const sockaddr*>(&address), sizeof address)) {
            this->end();
            return { "NONE", "no connection" };
        }
        this->reader = std::make_unique<Reader>(this->fd);
        if (!writeAll(this->fd, "CONNECT " + database + " " + key + "\r\n"))
            return { "NONE", "no connection" };
        return this->read(2000, true);
    }
    Answer query(const std::string& id, const std::string& text, int64_t limitMs = 3000)
    {
        if (this->fd < 0 || !writeAll(this->fd, "QUERY " + id + " " + text + "\r\n"))
            return { "NONE", "no connection" };
        return this->read(limitMs, false);
    }
    void end()
    {
        if (this->fd >= 0)
            close(this->fd);
        this->fd = -1;
    }
    bool isOpen() const { return this->fd >= 0; }

private:
    Answer read(int64_t limitMs, bool isConnecting)
    {
        Answer answer { "NONE", "" };
        while (true) {
            const auto line = this->reader->line(limitMs);
            if (!line) {
                this->end();
                return { "NONE", "no answer" };
            }
            std::string rest = *line;
            const std::string verb = takeWord(rest);
            if (verb == "READY") {
                answer.state = rest.empty() ? '?' : rest[0];
                if (isConnecting)
                    answer.code = "DONE";
                return answer;
            }
            if (verb == "COMPLETE")
                answer = { "DONE", rest };
            if (verb == "ERROR") {
                answer.code = takeWord(rest);
                answer.text = rest;
                if (isConnecting) {
                    this->end();
                    return answer;
                }
            }
        }
    }

    int fd = -1;
    std::unique_ptr<Reader> reader;
};

inline std::string makeFolder()
{
    std::string pattern = std::string(getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp") + "/review-3-XXXXXX";
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    return pattern;
}

inline bool hasTrouble()
{
    const char* text = getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

/// A small deployment: machines of the deploy file in three zones, a service, the store.
class Deployment {
public:
    Deployment(Record& record, uint32_t synchronousReplicas, size_t machinesPerZone)
        : record(record)
        , prefix(addressPrefix())
        , folder(makeFolder())
        , store(this->prefix + "201")
        , service(this->prefix, this->store, record, "huvo11a", synchronousReplicas, zoneNames(), 500)
    {
        std::string zones;
        for (const std::string& zone : zoneNames())
            zones += "zones." + zone + "=main\n";
        const std::string first = this->prefix + "11";
        const MachinePorts ports { freePort(first), freePort(first), freePort(first), freePort(first) };
        for (size_t index = 0; index < 3 * machinesPerZone; ++index) {
            const std::string zone = zoneNames()[index % 3];
            this->machines.push_back(
                std::make_unique<Machine>("front-" + zone + "-" + std::to_string(index / 3 + 1), zone,
                    this->prefix + std::to_string(11 + index), ports, this->folder));
            this->machines.back()->writeSettings(this->store.address(), this->service.dutyAddress(), zones);
        }
    }
    /// Ends all processes.
    void finish()
    {
        this->service.stop();
        for (const auto& machine : this->machines)
            machine->kill();
        const char* kept = getenv("KEEP_LOGS");
        if (!kept)
            this->removeFolder();
        else
            std::cout << "logs in " << this->folder << std::endl;
    }
    static const std::vector<std::string>& zoneNames()
    {
        static const std::vector<std::string> names { "north", "east", "south" };
        return names;
    }
    /// Writes a version of the configuration; the operator gets the store's answer at once.
    void configure(uint64_t version, const Json& tenants)
    {
        Json routes = Json::array();
        for (const char* type : { "primary", "bounded_staleness", "own_writes" })
            routes.push_back({ { "name", std::string("r-") + type }, { "database", std::string("db-") + type },
                { "prefix", "/" }, { "route_type", type }, { "timeout_ms", 1200 }, { "target_latency_ms", 300 },
                { "priority", 2 }, { "service", this->service.name }, { "max_attempts", 2 },
                { "max_staleness_ms", 1500 }, { "public", false } });
        const Json configuration { { "version", version }, { "routes", routes },
            { "services",
                { { { "name", this->service.name }, { "health_path", "/health" }, { "max_connections", 36 },
                    { "sync_replicas", this->service.synchronousReplicas } } } },
            { "limits", { { "tx_idle_ms", 3000 } } }, { "tenants", tenants } };
        this->store.put("op", "config", configuration.dump());
        this->record.line("configuration " + configuration.dump());
    }
    static Json tenant(const std::string& name, const std::vector<std::string>& keys)
    {
        return { { "name", name }, { "api_keys", keys }, { "priority", 1 }, { "rate_per_s", 5000 },
            { "burst", 5000 } };
    }
    bool start()
    {
        for (const auto& machine : this->machines)
            machine->start();
        const int64_t end = steadyMs() + 25'000;
        for (const auto& machine : this->machines) {
            while (!machine->isReady()) {
                if (steadyMs() > end || machine->hasEnded())
                    return false;
                sleepMs(50);
            }
        }
        return true;
    }

    Record& record;
    const std::string prefix;
    const std::string folder;
    Store store;
    Service service;
    std::vector<std::unique_ptr<Machine>> machines;

private:
    void removeFolder() const
    {
        for (const auto& machine : this->machines) {
            unlink((this->folder + "/" + machine->name + ".conf").c_str());
            unlink((this->folder + "/" + machine->name + ".log").c_str());
        }
        rmdir(this->folder.c_str());
    }
};

/// Runs a case and ends. The stand-ins' threads go on until then, so that nothing that they use is destroyed before.
inline int runCase(const std::string& recordFile, uint32_t synchronousReplicas, size_t machinesPerZone,
    const std::function<int(Deployment&)>& play)
{
    auto& record = *new Record(recordFile);
    auto& deployment = *new Deployment(record, synchronousReplicas, machinesPerZone);
    int status = 2;
    try {
        status = play(deployment);
    } catch (const std::exception& error) {
        record.note(std::string("the case could not run: ") + error.what());
    }
    deployment.finish();
    std::cout.flush();
    _exit(status);
}

/// Writes of clients, and which of them were answered with success.
class Writers {
public:
    Writers(Deployment& deployment, std::string key, size_t count)
        : deployment(deployment)
        , key(std::move(key))
    {
        for (size_t index = 0; index < count; ++index)
            this->threads.emplace_back([this, index] { this->work(index); });
    }
    ~Writers() { this->stop(); }
    void stop()
    {
        this->isStopping = true;
        for (std::thread& thread : this->threads) {
            if (thread.joinable())
                thread.join();
        }
    }
    /// Ids of the writes that were answered with success.
    std::vector<std::string> acknowledged()
    {
        const Lock lock(this->mutex);
        return this->done;
    }
    std::map<std::string, size_t> counts()
    {
        const Lock lock(this->mutex);
        return this->byCode;
    }

private:
    void work(size_t index)
    {
        Client client;
        size_t next = index;
        uint64_t number = 0;
        while (!this->isStopping) {
            if (!client.isOpen()) {
                const auto& machine = this->deployment.machines[next++ % this->deployment.machines.size()];
                if (!client.connectTo(*machine, "db-primary", this->key).isDone()) {
                    sleepMs(50);
                    continue;
                }
            }
            const std::string id = "w" + std::to_string(index) + "x" + std::to_string(++number);
            this->deployment.record.line("client sends " + id);
            const Answer answer = client.query(id, "WRITE item" + std::to_string(index) + " " + id);
            {
                const Lock lock(this->mutex);
                ++this->byCode[answer.code];
                if (answer.isDone())
                    this->done.push_back(id);
            }
            this->deployment.record.line("client gets " + id + " " + answer.code + " " + answer.text);
            sleepMs(answer.isDone() ? 25 : 200);
        }
    }

    Deployment& deployment;
    std::string key;
    std::mutex mutex;
    std::vector<std::string> done;
    std::map<std::string, size_t> byCode;
    std::atomic<bool> isStopping { false };
    std::vector<std::thread> threads;
};

} // namespace review3
