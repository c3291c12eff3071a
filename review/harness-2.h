// Stand-ins of the platform's store, its promotion calls, database groups and clients, on one thread and the real clock,
// and the processes of the program under test. Written for the cases of review/REPORT-2.md from PROTOCOL.md.
#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline asio::io_context& context()
{
    static asio::io_context instance(1);
    return instance;
}

/// Calls `action` after the time, unless the program has ended.
inline void after(Clock::duration time, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(context(), time);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& error) {
        if (!error)
            action();
    });
}

/// What was sent, answered and run, with the seconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
        , start(Clock::now())
    {
    }
    double seconds() const { return std::chrono::duration<double>(Clock::now() - this->start).count(); }
    void write(const std::string& line)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%9.4f ", this->seconds());
        this->file << time << (line.size() > this->longestLine ? line.substr(0, this->longestLine) + " ..." : line) << '\n';
    }
    void flush() { this->file.flush(); }
    size_t longestLine = 1000;

private:
    std::ofstream file;
    Clock::time_point start;
};

inline std::unique_ptr<Record>& recordSlot()
{
    static std::unique_ptr<Record> slot;
    return slot;
}
inline Record& record() { return *recordSlot(); }

// --- HTTP ------------------------------------------------------------------------------------------------------------

struct HttpAnswer {
    unsigned status = 200;
    std::string body = "{}";
};
using HttpReply = std::function<void(HttpAnswer)>;
using HttpRequest = http::request<http::string_body>;
using HttpHandler = std::function<void(const HttpRequest&, HttpReply)>;

class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    HttpSession(tcp::socket connection, HttpHandler& handler)
        : socket(std::move(connection))
        , handler(handler)
    {
    }
    void read()
    {
        this->request = {};
        http::async_read(this->socket, this->buffer, this->request,
            [self = this->shared_from_this()](const boost::system::error_code& error, size_t) {
                if (error)
                    return;
                self->handler(self->request, [self](const HttpAnswer& answer) { self->write(answer); });
            });
    }

private:
    void write(const HttpAnswer& answer)
    {
        this->response = {};
        this->response.version(11);
        this->response.result(answer.status);
        this->response.set(http::field::content_type, "application/json");
        this->response.body() = answer.body;
        this->response.keep_alive(this->request.keep_alive());
        this->response.prepare_payload();
        http::async_write(this->socket, this->response,
            [self = this->shared_from_this()](const boost::system::error_code& error, size_t) {
                if (!error && self->request.keep_alive())
                    self->read();
            });
    }

    tcp::socket socket;
    HttpHandler& handler;
    boost::beast::flat_buffer buffer;
    HttpRequest request;
    http::response<http::string_body> response;
};

class HttpServer {
public:
    HttpServer(const std::string& ip, HttpHandler handler)
        : handler(std::move(handler))
        , acceptor(context(), tcp::endpoint(asio::ip::make_address(ip), 0))
    {
        this->accept();
    }
    std::string address() const
    {
        const auto local = this->acceptor.local_endpoint();
        return local.address().to_string() + ":" + std::to_string(local.port());
    }

private:
    void accept()
    {
        this->acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error)
                return;
            socket.set_option(tcp::no_delay(true));
            std::make_shared<HttpSession>(std::move(socket), this->handler)->read();
            this->accept();
        });
    }
    HttpHandler handler;
    tcp::acceptor acceptor;
};

inline std::map<std::string, std::string> queryOf(const std::string& target)
{
    std::map<std::string, std::string> query;
    const size_t mark = target.find('?');
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const size_t end = rest.find('&');
        const std::string part = rest.substr(0, end);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
        const size_t equals = part.find('=');
        std::string value;
        for (size_t index = equals + 1; equals != std::string::npos && index < part.size(); ++index) {
            if (part[index] == '%' && index + 2 < part.size()) {
                value.push_back(static_cast<char>(std::stoi(part.substr(index + 1, 2), nullptr, 16)));
                index += 2;
            } else {
                value.push_back(part[index]);
            }
        }
        query[part.substr(0, equals)] = value;
    }
    return query;
}

inline std::string toBase64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t index = 0; index < bytes.size(); index += 3) {
        uint32_t group = 0;
        for (size_t offset = 0; offset < 3; ++offset)
            group = group << 8 | (index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0);
        for (size_t offset = 0; offset < 4; ++offset)
            text.push_back(index + offset > bytes.size() ? '=' : digits[group >> (18 - 6 * offset) & 63]);
    }
    return text;
}

// --- The platform's store --------------------------------------------------------------------------------------------

/// Rows, transactions under conditions and feeds, as PROTOCOL.md describes them. Loses nothing, answers after 4 ms.
class Store {
public:
    explicit Store(const std::string& ip)
        : server(ip, [this](const HttpRequest& request, HttpReply reply) {
            const std::string target(request.target());
            const std::string body = request.body();
            after(4ms, [this, target, body, reply = std::move(reply)] { this->handle(target, body, reply); });
        })
    {
    }
    std::string address() const { return this->server.address(); }

    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        this->tables[table][key] = { toBase64(value), ++this->version, false };
        this->changed();
    }
    void remove(const std::string& table, const std::string& key)
    {
        Row& row = this->tables[table][key];
        if (row.deleted || !row.version)
            return;
        row = { "", ++this->version, true };
        this->changed();
    }

private:
    struct Row {
        std::string value;
        uint64_t version = 0;
        bool deleted = false;
    };
    struct Waiting {
        std::string table;
        uint64_t after = 0;
        Clock::time_point until;
        HttpReply reply;
    };

    static uint64_t nowMs()
    {
        return static_cast<uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count());
    }
    Json rowJson(const std::string& table, const std::string& key, const Row& row) const
    {
        Json json { { "table", table }, { "part", "" }, { "key", key }, { "ver", row.version } };
        if (row.deleted)
            json["deleted"] = true;
        else
            json["value"] = row.value;
        return json;
    }
    Json finish(Json rows) const
    {
        return { { "rows", std::move(rows) }, { "has_more", false }, { "ver", this->version }, { "now_ms", nowMs() } };
    }
    std::optional<Json> changesAfter(const std::string& table, uint64_t after)
    {
        std::map<uint64_t, Json> changes;
        for (const auto& [key, row] : this->tables[table]) {
            if (row.version > after)
                changes[row.version] = this->rowJson(table, key, row);
        }
        if (changes.empty())
            return std::nullopt;
        Json rows = Json::array();
        for (auto& [version, row] : changes)
            rows.push_back(std::move(row));
        return this->finish(std::move(rows));
    }
    void changed()
    {
        for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
            if (const auto changes = this->changesAfter(entry->table, entry->after)) {
                entry->reply({ 200, changes->dump() });
                entry = this->waiting.erase(entry);
            } else {
                ++entry;
            }
        }
    }
    void handle(const std::string& target, const std::string& body, const HttpReply& reply)
    {
        auto query = queryOf(target);
        if (target.starts_with("/-/rows-get")) {
            Json rows = Json::array();
            for (const auto& [key, row] : this->tables[query["table"]]) {
                if (!row.deleted && key >= query["from"] && (query["to"].empty() || key < query["to"]))
                    rows.push_back(this->rowJson(query["table"], key, row));
            }
            reply({ 200, this->finish(std::move(rows)).dump() });
        } else if (target.starts_with("/-/rows-feed")) {
            const uint64_t afterVersion = std::stoull(query["after"]);
            const auto wait = std::chrono::milliseconds(std::stoll(query["wait_ms"]));
            if (const auto changes = this->changesAfter(query["table"], afterVersion)) {
                reply({ 200, changes->dump() });
                return;
            }
            const auto entry = this->waiting.insert(
                this->waiting.end(), Waiting { query["table"], afterVersion, Clock::now() + wait, reply });
            const uint64_t number = ++this->lastWaiting;
            this->byNumber[number] = entry;
            after(wait, [this, reply, table = query["table"], afterVersion] {
                // Answered only if no change has answered it before.
                for (auto known = this->waiting.begin(); known != this->waiting.end(); ++known) {
                    if (known->table == table && known->after == afterVersion && known->until <= Clock::now()) {
                        known->reply({ 200, this->finish(Json::array()).dump() });
                        this->waiting.erase(known);
                        return;
                    }
                }
            });
        } else if (target.starts_with("/-/rows-tx")) {
            this->transact(Json::parse(body), reply);
        } else {
            reply({ 404, "{}" });
        }
    }
    void transact(const Json& call, const HttpReply& reply)
    {
        Json current = Json::array();
        bool holds = true;
        for (const Json& expected : call.at("expected")) {
            const std::string table = expected.at("table");
            const std::string key = expected.at("key");
            const Row& row = this->tables[table][key];
            const uint64_t present = row.deleted ? 0 : row.version;
            holds = holds && present == expected.at("ver").get<uint64_t>();
            if (present)
                current.push_back(this->rowJson(table, key, row));
        }
        if (!holds) {
            reply({ 412, this->finish(std::move(current)).dump() });
            return;
        }
        const uint64_t next = ++this->version;
        for (const Json& row : call.at("set_keys"))
            this->tables[row.at("table")][row.at("key")] = { row.at("value"), next, false };
        for (const Json& row : call.at("delete_keys"))
            this->tables[row.at("table")][row.at("key")] = { "", next, true };
        this->changed();
        reply({ 200, Json { { "ver", next }, { "now_ms", nowMs() } }.dump() });
    }

    std::map<std::string, std::map<std::string, Row>> tables;
    uint64_t version = 0;
    std::list<Waiting> waiting;
    std::map<uint64_t, std::list<Waiting>::iterator> byNumber;
    uint64_t lastWaiting = 0;
    HttpServer server;
};

// --- Lines -----------------------------------------------------------------------------------------------------------

class Lines : public std::enable_shared_from_this<Lines> {
public:
    explicit Lines(tcp::socket connection)
        : socket(std::move(connection))
    {
    }
    std::function<void(const std::string&)> onLine;
    std::function<void()> onEnd;

    void connect(const tcp::endpoint& peer, std::function<void()> done)
    {
        this->socket.async_connect(peer, [self = this->shared_from_this(), done](const boost::system::error_code& error) {
            if (self->closed)
                return;
            if (error) {
                self->end();
                return;
            }
            self->socket.set_option(tcp::no_delay(true));
            self->read();
            done();
        });
    }
    void read()
    {
        asio::async_read_until(this->socket, asio::dynamic_buffer(this->input), "\r\n",
            [self = this->shared_from_this()](const boost::system::error_code& error, size_t length) {
                if (self->closed)
                    return;
                if (error) {
                    self->end();
                    return;
                }
                const std::string line = self->input.substr(0, length - 2);
                self->input.erase(0, length);
                // A copy, because the callback may set another one.
                if (const auto callback = self->onLine)
                    callback(line);
                if (!self->closed)
                    self->read();
            });
    }
    void write(const std::string& text)
    {
        if (this->closed)
            return;
        this->output += text;
        if (!this->writing)
            this->writeNext();
    }
    void close()
    {
        if (std::exchange(this->closed, true))
            return;
        boost::system::error_code ignored;
        this->socket.close(ignored);
        this->onLine = nullptr;
        this->onEnd = nullptr;
    }
    bool isClosed() const { return this->closed; }

private:
    void writeNext()
    {
        this->writing = std::make_shared<std::string>(std::exchange(this->output, {}));
        asio::async_write(this->socket, asio::buffer(*this->writing),
            [self = this->shared_from_this(), kept = this->writing](const boost::system::error_code& error, size_t) {
                self->writing.reset();
                if (self->closed)
                    return;
                if (error)
                    self->end();
                else if (!self->output.empty())
                    self->writeNext();
            });
    }
    void end()
    {
        const auto callback = this->onEnd;
        this->close();
        if (callback)
            callback();
    }

    tcp::socket socket;
    std::string input;
    std::string output;
    std::shared_ptr<std::string> writing;
    bool closed = false;
};

inline std::string takeWord(std::string& rest)
{
    const size_t end = rest.find(' ');
    const std::string word = rest.substr(0, end);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
    return word;
}

// --- Databases -------------------------------------------------------------------------------------------------------

struct Entry {
    uint64_t term = 0;
    std::string write; ///< id of the client's write
};

struct Position {
    uint64_t term = 0;
    uint64_t number = 0;
    friend auto operator<=>(const Position&, const Position&) = default;
    std::string text() const { return std::to_string(this->term) + "." + std::to_string(this->number); }
};

class Database;

/// A service of three databases.
struct Group {
    std::string name;
    uint64_t term = 1; ///< newest term
    unsigned syncReplicas = 0;
    Clock::duration promoteTime = 1000ms;
    Database* leader = nullptr;
    std::vector<std::unique_ptr<Database>> databases;
    uint64_t highestToken = 0;
    std::function<void(Database&)> onPromoted; ///< called when the named database has taken the lead
};

/// One database: a log, its replication, the wire protocol and its entry in the store.
class Database {
public:
    Database(Group& group, Store& store, std::string id, const std::string& ip, std::string zone, uint16_t port = 0)
        : group(group)
        , store(store)
        , id(std::move(id))
        , zone(std::move(zone))
        , local(asio::ip::make_address(ip), port)
    {
    }

    Group& group;
    Store& store;
    const std::string id;
    const std::string zone;
    std::vector<Entry> log;
    uint64_t knownTerm = 1;
    bool running = false;
    std::function<Clock::duration()> receiveDelay = [] { return Clock::duration(20ms); };
    bool isDeaf = false; ///< receives nothing
    bool isDark = false;
    size_t rowBytes = 0; ///< added to each row
    std::function<void(const std::string& id, const Database&)> onRead;

    Clock::duration sinceBeat() const { return Clock::now() - this->lastBeat; }
    bool leads() const { return this->group.leader == this; }
    Position position() const
    {
        return this->log.empty() ? Position { 0, 0 } : Position { this->log.back().term, this->log.size() };
    }
    bool holds(const Position& wanted) const
    {
        return wanted.number == 0
            || (wanted.number <= this->log.size() && this->log[wanted.number - 1].term >= wanted.term);
    }
    bool contains(const std::string& write) const
    {
        for (const Entry& entry : this->log) {
            if (entry.write == write)
                return true;
        }
        return false;
    }

    void start()
    {
        this->running = true;
        ++this->run;
        this->acceptor.emplace(context());
        this->acceptor->open(tcp::v4());
        this->acceptor->set_option(tcp::acceptor::reuse_address(true));
        this->acceptor->bind(this->local);
        this->acceptor->listen();
        this->local = this->acceptor->local_endpoint();
        this->accept();
        this->beat(this->run);
        if (!this->leads())
            this->rejoin(this->run);
    }

    /// The process ends: connections break, its log stays on its disk, and it writes nothing to the store.
    void crash()
    {
        record().write("database " + this->id + " crashes, log " + this->position().text());
        this->running = false;
        ++this->run;
        this->acceptor.reset();
        for (const auto& session : std::exchange(this->sessions, {}))
            session->lines->close();
        this->unacknowledged.clear();
        // Three ping intervals after its last entry the store drops it.
        const auto silence = this->lastBeat + 3 * beatInterval - Clock::now();
        after(silence, [this, run = this->run] {
            if (!this->running && this->run == run) {
                record().write("store drops the entry of " + this->id);
                this->store.remove("servers", this->id);
            }
        });
    }
    /// Goes dark: nothing is answered on open connections, and opening packets of new ones are dropped, because the queue
    /// of new connections is full.
    void goDark()
    {
        record().write("database " + this->id + " goes dark, log " + this->position().text());
        this->isDark = true;
        this->acceptor->cancel();
        ::listen(this->acceptor->native_handle(), 0);
        for (int index = 0; index < 4; ++index) {
            this->fillers.push_back(std::make_shared<tcp::socket>(context()));
            this->fillers.back()->async_connect(this->local, [](const boost::system::error_code&) { });
        }
    }
    /// Comes back with its log, as a replica if another database was promoted.
    void comeBack()
    {
        record().write("database " + this->id + " is back with its log " + this->position().text() + " as "
            + (this->leads() ? "primary" : "replica"));
        this->start();
        for (const auto& other : this->group.databases) {
            if (this->leads() && other.get() != this)
                this->send(*other, this->log.size());
        }
    }

    void publish()
    {
        if (!this->running)
            return;
        this->lastBeat = Clock::now();
        this->store.put("servers", this->id,
            Json { { "service", this->group.name },
                { "address", this->local.address().to_string() + ":" + std::to_string(this->local.port()) },
                { "zone", this->zone }, { "version", "v1" }, { "slots", 2 }, { "state", "ready" },
                { "cold_remaining_ms", 0 }, { "db_role", this->leads() ? "primary" : "replica" },
                { "sequence", ++this->sequence }, { "born", this->born } }
                .dump());
    }

    /// Takes the lead with what was received, and nothing more.
    void takeLead()
    {
        Database* previous = this->group.leader;
        this->knownTerm = ++this->group.term;
        this->group.leader = this;
        record().write("database " + this->id + " leads term " + std::to_string(this->knownTerm) + " with log "
            + this->position().text());
        if (this->group.onPromoted)
            this->group.onPromoted(*this);
        for (const auto& other : this->group.databases) {
            if (other.get() != this && other->running && !other->isDark)
                other->follow(*this);
        }
        if (previous && previous != this) {
            previous->loseLead();
            if (!previous->isDark)
                previous->publish();
        }
        this->publish();
    }

private:
    struct Session {
        std::shared_ptr<Lines> lines;
        bool isOpen = false;
        char state = 'I';
        bool isReadOnly = false;
        uint64_t beganIn = 0; ///< term in which a plain transaction was begun
        std::vector<std::string> writes;
        std::map<std::string, std::pair<std::string, std::string>> prepared;
        std::deque<std::string> queue;
        bool isBusy = false;
    };
    using SessionPointer = std::shared_ptr<Session>;
    static constexpr auto beatInterval = std::chrono::milliseconds(1200);

    void accept()
    {
        this->acceptor->async_accept([this, run = this->run](const boost::system::error_code& error, tcp::socket socket) {
            if (error || run != this->run)
                return;
            socket.set_option(tcp::no_delay(true));
            auto session = std::make_shared<Session>();
            session->lines = std::make_shared<Lines>(std::move(socket));
            session->lines->onLine = [this, session](const std::string& line) { this->handleLine(session, line); };
            session->lines->onEnd = [this, session] { this->sessions.erase(session); };
            this->sessions.insert(session);
            session->lines->read();
            this->accept();
        });
    }
    void beat(uint64_t current)
    {
        if (!this->running || current != this->run || this->isDark)
            return;
        this->publish();
        after(beatInterval, [this, current] { this->beat(current); });
    }
    // A replica fetches the leader's log when both run.
    void rejoin(uint64_t current)
    {
        if (!this->running || current != this->run || this->leads())
            return;
        if (this->group.leader && this->group.leader->running && !this->isDeaf) {
            this->follow(*this->group.leader);
            return;
        }
        after(50ms, [this, current] { this->rejoin(current); });
    }
    void follow(const Database& leader)
    {
        if (this->isDeaf)
            return;
        size_t common = 0;
        while (common < this->log.size() && common < leader.log.size() && this->log[common].write == leader.log[common].write
            && this->log[common].term == leader.log[common].term)
            ++common;
        if (common < this->log.size())
            record().write("database " + this->id + " is rolled back from " + this->position().text() + " to number "
                + std::to_string(common));
        this->log.resize(common);
        this->log.insert(this->log.end(), leader.log.begin() + static_cast<std::ptrdiff_t>(common), leader.log.end());
        this->knownTerm = leader.knownTerm;
    }
    void loseLead()
    {
        for (const auto& pending : std::exchange(this->unacknowledged, {}))
            pending.second.refuse();
    }

    void ready(const SessionPointer& session, const std::string& result)
    {
        session->lines->write(
            result + "READY " + std::string(1, session->state) + " " + this->position().text() + "\r\n");
        session->isBusy = false;
        this->next(session);
    }
    void next(const SessionPointer& session)
    {
        if (session->isBusy || session->queue.empty() || session->lines->isClosed())
            return;
        session->isBusy = true;
        std::string line = std::move(session->queue.front());
        session->queue.pop_front();
        after(2ms, [this, session, line, current = this->run] {
            if (this->running && current == this->run && !this->isDark)
                this->runQuery(session, line);
        });
    }
    void handleLine(const SessionPointer& session, const std::string& line)
    {
        std::string rest = line;
        const std::string verb = takeWord(rest);
        if (verb == "BYE") {
            session->lines->close();
            this->sessions.erase(session);
            return;
        }
        if (verb == "CONNECT" && !session->isOpen) {
            const std::string service = takeWord(rest);
            takeWord(rest);
            if (service != this->group.name || (!rest.empty() && rest != this->id)) {
                session->lines->write("ERROR WRONGNODE " + this->id + "\r\n");
                after(5ms, [session] { session->lines->close(); });
                return;
            }
            session->isOpen = true;
            session->isBusy = true;
            after(12ms, [this, session] { this->ready(session, ""); });
            return;
        }
        session->queue.push_back(line);
        this->next(session);
    }
    std::string mac() { return this->id + "." + std::to_string(++lastMac); }
    void error(const SessionPointer& session, const std::string& code)
    {
        if (session->state == 'T')
            session->state = 'E';
        this->ready(session, "ERROR " + code + " " + this->id + "\r\n");
    }
    bool hasLostLead(const SessionPointer& session) const
    {
        return session->state == 'T' && !session->isReadOnly
            && (!this->leads() || session->beganIn != this->group.term);
    }
    void runQuery(const SessionPointer& session, const std::string& line)
    {
        std::string rest = line;
        takeWord(rest);
        const std::string id = takeWord(rest);
        std::string verb = takeWord(rest);
        if (verb == "AFTER") {
            std::string text = takeWord(rest);
            const size_t dot = text.find('.');
            const Position wanted { std::stoull(text.substr(0, dot)), std::stoull(text.substr(dot + 1)) };
            if (!this->holds(wanted)) {
                this->error(session, "LAGGING");
                return;
            }
            verb = takeWord(rest);
        }
        if (session->state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") {
            this->error(session, "MALFORMED");
            return;
        }
        if (verb == "STATUS") {
            this->ready(session,
                std::string("ROW ") + (this->leads() ? "primary " : "replica ") + std::to_string(this->knownTerm) + " "
                    + this->position().text() + " 0 0 0 " + std::to_string(this->sessions.size()) + "\r\nCOMPLETE -\r\n");
        } else if (verb == "BEGIN") {
            if (rest != "READ" && !this->leads()) {
                this->error(session, "READONLY");
                return;
            }
            session->state = 'T';
            session->isReadOnly = rest == "READ";
            session->beganIn = this->group.term;
            session->writes.clear();
            this->ready(session, "COMPLETE -\r\n");
        } else if (verb == "ROLLBACK") {
            session->state = 'I';
            session->writes.clear();
            this->ready(session, "COMPLETE -\r\n");
        } else if (verb == "COMMIT") {
            this->commit(session, id);
        } else if (verb == "READ") {
            if (this->hasLostLead(session)) {
                this->error(session, "READONLY");
                return;
            }
            record().write("database " + this->id + " runs read " + id + " on log " + this->position().text());
            if (this->onRead)
                this->onRead(id, *this);
            this->ready(session,
                "ROW " + this->position().text() + std::string(this->rowBytes, 'x') + "\r\nCOMPLETE " + this->mac()
                    + "\r\n");
        } else if (verb == "WRITE") {
            if (session->state == 'T' ? session->isReadOnly || this->hasLostLead(session) : !this->leads()) {
                this->error(session, "READONLY");
                return;
            }
            if (session->state == 'T') {
                session->writes.push_back(id);
                this->ready(session, "COMPLETE " + this->mac() + "\r\n");
                return;
            }
            session->writes = { id };
            this->append(session);
        } else {
            this->ready(session, "COMPLETE -\r\n");
        }
    }
    void commit(const SessionPointer& session, const std::string& id)
    {
        const bool failed = session->state == 'E';
        const bool lost = this->hasLostLead(session) && !session->writes.empty();
        session->state = 'I';
        if (failed || lost) {
            this->ready(session, std::string("ERROR ") + (failed ? "ABORTED " : "READONLY ") + this->id + "\r\n");
            return;
        }
        if (session->writes.empty()) {
            this->ready(session, "COMPLETE " + this->mac() + "\r\n");
            return;
        }
        session->writes = { id };
        this->append(session);
    }
    // Commits and sends the commit to the replicas. It is acknowledged once enough of them have received it.
    void append(const SessionPointer& session)
    {
        const std::string write = session->writes.front();
        session->writes.clear();
        this->log.push_back({ this->knownTerm, write });
        const size_t number = this->log.size();
        record().write("database " + this->id + " commits " + write + " at " + this->position().text());
        Pending pending;
        pending.missing = this->group.syncReplicas;
        pending.acknowledge = [this, session] { this->ready(session, "COMPLETE " + this->mac() + "\r\n"); };
        // Whether the commit is kept is open: the connection ends without an answer.
        pending.refuse = [this, session] {
            session->lines->close();
            this->sessions.erase(session);
        };
        if (!pending.missing)
            pending.acknowledge();
        else
            this->unacknowledged[number] = pending;
        for (const auto& other : this->group.databases) {
            if (other.get() != this)
                this->send(*other, number);
        }
    }
    void send(Database& replica, size_t number)
    {
        // Commits arrive in order, each one link's delay after it was sent.
        auto arrival = Clock::now() + replica.receiveDelay();
        arrival = std::max(arrival, this->lastArrival[&replica]);
        this->lastArrival[&replica] = arrival;
        after(arrival - Clock::now(), [this, &replica, number, current = this->run, other = replica.run] {
            if (!this->running || current != this->run || !replica.running || other != replica.run || replica.isDeaf
                || !this->leads() || this->log.size() < number)
                return;
            while (replica.log.size() < number) {
                replica.log.push_back(this->log[replica.log.size()]);
                replica.knownTerm = this->knownTerm;
            }
            // The receipt travels back.
            after(1ms, [this, number, current] {
                const auto found = this->unacknowledged.find(number);
                if (!this->running || current != this->run || !this->leads() || found == this->unacknowledged.end())
                    return;
                if (--found->second.missing == 0) {
                    const auto acknowledge = found->second.acknowledge;
                    this->unacknowledged.erase(found);
                    acknowledge();
                }
            });
        });
    }

    struct Pending {
        unsigned missing = 0;
        std::function<void()> acknowledge;
        std::function<void()> refuse;
    };

    static inline uint64_t lastMac = 0;
    tcp::endpoint local;
    std::optional<tcp::acceptor> acceptor;
    std::set<SessionPointer> sessions;
    std::map<size_t, Pending> unacknowledged; ///< by number of the commit
    std::map<Database*, Clock::time_point> lastArrival;
    std::vector<std::shared_ptr<tcp::socket>> fillers; ///< fill the queue of new connections
    uint64_t run = 0;
    uint64_t sequence = 0;
    uint64_t born = 1'790'000'000'000ULL;
    Clock::time_point lastBeat;
};

// --- The platform's promotion calls ----------------------------------------------------------------------------------

/// `POST /promote`, with a check of the fences. The named database leads `promoteTime` after the call.
class Cloud {
public:
    Cloud(const std::string& ip, std::vector<Group*> groups)
        : groups(std::move(groups))
        , server(ip, [this](const HttpRequest& request, const HttpReply& reply) { this->handle(request, reply); })
    {
    }
    std::string address() const { return this->server.address(); }

private:
    void handle(const HttpRequest& request, const HttpReply& reply)
    {
        const Json body = Json::parse(request.body());
        const std::string service = body.at("service");
        const std::string id = body.at("id");
        const uint64_t token = std::stoull(std::string(request["X-Fencing-Token"]));
        const std::string call = "promote " + id + " of " + service + " by " + std::string(request["X-Duty-Holder"])
            + " token " + std::to_string(token);
        for (Group* group : this->groups) {
            if (group->name != service)
                continue;
            Database* named = nullptr;
            for (const auto& database : group->databases) {
                if (database->id == id)
                    named = database.get();
            }
            if (token < group->highestToken || !named || !named->running || named->isDark) {
                record().write(call + " -> 409");
                reply({ 409, "{}" });
                return;
            }
            group->highestToken = token;
            record().write(call + " -> 200");
            reply({ 200, "{}" });
            if (named->leads())
                return;
            after(group->promoteTime, [group, named, token] {
                if (named->running && token >= group->highestToken && !named->leads())
                    named->takeLead();
            });
            return;
        }
        reply({ 404, "{}" });
    }
    std::vector<Group*> groups;
    HttpServer server;
};

// --- The program under test ------------------------------------------------------------------------------------------

class Machine {
public:
    Machine(std::string name, std::string zone, std::string ip, const std::string& folder, const std::string& storeAddress,
        const std::string& cloudAddress)
        : name(std::move(name))
        , ip(std::move(ip))
        , settings(folder + "/" + this->name + ".conf")
        , output(folder + "/" + this->name + ".log")
    {
        std::ofstream(this->settings)
            << "node_name=" << this->name << "\nrole=entry\nmachine_class=front\nserves=front\nip=" << this->ip
            << "\nzone=" << zone << "\nregion=lk-west\nzones.colombo-a=lk-west\nzones.colombo-b=lk-west\n"
            << "zones.gampaha=lk-west\nzones.kalutara=lk-west\nlisten_addrs.front=" << this->ip
            << ":8465\nlisten_addrs.ready=" << this->ip
            << ":8460\ninternal_ports=7560,7575\nbootstrap=true\nlimits.cpu_share=0.17\nlimits.cores=1\n"
               "limits.memory_mb=182\nlimits.max_fds=2940\nlimits.link_mbps=700.0\nlimits.disk_mb=0\n"
               "discovery=platform\nentry_point=vip\nheartbeat_ms=1200\n"
               "contracts=base,drain,config,cost,recover,sql,tenants,quota,platform\nbounds.contact_ms=4000\n"
               "bounds.ack_timeout_ms=5000\nbounds.drain_ms=7000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\n"
               "bounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\nbounds.outer_ms=12000\n"
               "bounds.strict_revoke=false\nbounds.revoke_ms=5000\nbounds.quota_window_s=5\n"
               "bounds.quota_overage=0.1\nbounds.quota_slack=20\nbounds.recovery_s=12\n"
               "bounds.fencing_required=true\nplatform.address="
            << storeAddress << "\nplatform.form=table\nplatform.history_s=20\ncloud.address=" << cloudAddress
            << "\ncloud.duties=promotion\n";
    }
    ~Machine() { this->kill(); }

    void start()
    {
        this->process = fork();
        if (this->process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("LAVENDERVANE_NODE_FILE", this->settings.c_str(), 1);
            const int file = open(this->output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(file, 1);
            dup2(file, 2);
            // The sockets of the stand-ins are theirs alone.
            for (int descriptor = 3; descriptor < 4096; ++descriptor)
                ::close(descriptor);
            execl("target/lavendervane-entryd", "target/lavendervane-entryd", nullptr);
            _exit(127);
        }
    }
    void signal(int number) const
    {
        if (this->process > 0)
            ::kill(this->process, number);
    }
    void kill()
    {
        if (this->process <= 0)
            return;
        ::kill(this->process, SIGCONT);
        ::kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
        this->process = 0;
    }
    pid_t id() const { return this->process; }
    bool isRunning()
    {
        if (this->process > 0 && waitpid(this->process, nullptr, WNOHANG) == this->process)
            this->process = 0;
        return this->process > 0;
    }

    const std::string name;
    const std::string ip;
    const std::string settings;
    const std::string output;

private:
    pid_t process = 0;
};

// --- Clients ---------------------------------------------------------------------------------------------------------

struct Outcome {
    std::string code; ///< empty: success
    std::vector<std::string> rows;
    bool isBroken = false;
};

/// A session of a client: one statement at a time, opened again when it ends.
class Client : public std::enable_shared_from_this<Client> {
public:
    Client(std::vector<std::string> ips, size_t first, std::string database, std::string key)
        : ips(std::move(ips))
        , index(first)
        , database(std::move(database))
        , key(std::move(key))
    {
    }

    void open(std::function<void()> done)
    {
        this->lines = std::make_shared<Lines>(tcp::socket(context()));
        const auto self = this->shared_from_this();
        this->lines->onEnd = [self, done] { self->reopen(done); };
        this->lines->onLine = [self, done](const std::string& line) {
            if (line.starts_with("READY")) {
                self->lines->onLine = [self](const std::string& next) { self->handleLine(next); };
                self->lines->onEnd = [self] { self->finish(true); };
                done();
            } else {
                self->lines->close();
                self->reopen(done);
            }
        };
        this->lines->connect({ asio::ip::make_address(this->ips[this->index % this->ips.size()]), 8465 },
            [self] { self->lines->write("CONNECT " + self->database + " " + self->key + "\r\n"); });
    }
    bool isOpen() const { return this->lines && !this->lines->isClosed(); }

    void query(const std::string& id, const std::string& text, std::function<void(Outcome)> done)
    {
        this->callback = std::move(done);
        this->outcome = {};
        if (!this->isOpen()) {
            this->finish(true);
            return;
        }
        record().write("client sends " + id + " " + text);
        this->currentId = id;
        this->lines->write("QUERY " + id + " " + text + "\r\n");
    }
    void close()
    {
        if (this->lines)
            this->lines->close();
        this->callback = nullptr;
        this->isEnded = true;
    }

private:
    void reopen(std::function<void()> done)
    {
        if (this->isEnded)
            return;
        ++this->index;
        after(100ms, [self = this->shared_from_this(), done] {
            if (!self->isEnded)
                self->open(done);
        });
    }
    void handleLine(std::string line)
    {
        std::string rest = line;
        const std::string verb = takeWord(rest);
        if (verb == "ROW")
            this->outcome.rows.push_back(rest);
        else if (verb == "ERROR")
            this->outcome.code = takeWord(rest);
        else if (verb == "READY")
            this->finish(false);
    }
    void finish(bool isBroken)
    {
        this->outcome.isBroken = isBroken;
        if (isBroken && this->lines)
            this->lines->close();
        if (!this->callback)
            return;
        record().write("client gets " + this->currentId + " "
            + (isBroken                          ? "no answer"
                    : this->outcome.code.empty() ? "success"
                                                 : this->outcome.code));
        const auto done = std::exchange(this->callback, nullptr);
        done(this->outcome);
    }

    std::vector<std::string> ips;
    size_t index;
    std::string database;
    std::string key;
    std::shared_ptr<Lines> lines;
    std::string currentId;
    Outcome outcome;
    std::function<void(Outcome)> callback;
    bool isEnded = false;
};

// --- The whole deployment --------------------------------------------------------------------------------------------

struct RouteSettings {
    std::string database;
    std::string service;
    std::string type;
    unsigned stalenessMs = 0;
    unsigned timeoutMs = 800;
};

inline std::string configurationText(uint64_t version, const std::vector<RouteSettings>& routes,
    const std::vector<Group*>& groups, unsigned rate = 1000, unsigned burst = 1000)
{
    Json configuration { { "version", version }, { "routes", Json::array() }, { "services", Json::array() },
        { "limits", { { "tx_idle_ms", 3000 } } },
        { "tenants", { { { "name", "desk" }, { "api_keys", { "k1a" } }, { "priority", 1 }, { "rate_per_s", rate }, { "burst", burst } } } } };
    for (const RouteSettings& route : routes) {
        Json json { { "name", "r-" + route.database }, { "database", route.database }, { "service", route.service },
            { "route_type", route.type }, { "timeout_ms", route.timeoutMs }, { "target_latency_ms", 200 },
            { "priority", 1 }, { "public", false } };
        if (route.stalenessMs)
            json["max_staleness_ms"] = route.stalenessMs;
        configuration["routes"].push_back(json);
    }
    for (const Group* group : groups)
        configuration["services"].push_back(
            { { "name", group->name }, { "max_connections", 36 }, { "sync_replicas", group->syncReplicas } });
    return configuration.dump();
}

/// Loopback addresses of this run.
inline std::string makeIp(unsigned last)
{
    const auto number = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + number / 250 % 250) + "." + std::to_string(1 + number % 250) + "."
        + std::to_string(last);
}

inline std::string makeFolder()
{
    const char* base = std::getenv("TMPDIR");
    std::string pattern = std::string(base ? base : "/tmp") + "/review-XXXXXX";
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    return pattern;
}

/// Asks a machine once whether it is ready.
inline bool isReady(const std::string& ip)
{
    boost::system::error_code error;
    asio::io_context own;
    boost::beast::tcp_stream stream(own);
    stream.expires_after(200ms);
    bool ready = false;
    http::request<http::empty_body> request { http::verb::get, "/-/ready", 11 };
    request.set(http::field::host, ip);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    stream.async_connect(tcp::endpoint(asio::ip::make_address(ip), 8460), [&](boost::system::error_code failed) {
        if (failed)
            return;
        http::async_write(stream, request, [&](boost::system::error_code unsent, size_t) {
            if (unsent)
                return;
            http::async_read(stream, buffer, response,
                [&](boost::system::error_code unread, size_t) { ready = !unread && response.result_int() == 200; });
        });
    });
    own.run();
    return ready;
}

/// Runs the stand-ins until all machines are ready; false after the limit.
inline bool waitUntilReady(std::vector<std::unique_ptr<Machine>>& machines, Clock::duration limit = 25s)
{
    const auto end = Clock::now() + limit;
    for (auto& machine : machines) {
        while (!isReady(machine->ip)) {
            if (Clock::now() > end)
                return false;
            context().run_for(200ms);
        }
    }
    return true;
}

inline bool hasTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

} // namespace Review
