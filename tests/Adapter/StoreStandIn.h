#pragma once

#include "Http/HttpServer.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Lavendervane::Adapter {

/// Platform's store with reads, feeds and transactions in one part. It can go away and be restored from an older copy,
/// which loses what it has acknowledged since and assigns the same versions again.
class StoreStandIn {
public:
    explicit StoreStandIn(boost::asio::io_context&);

    std::string address() const;

    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

    /// Remembers the content for `restore`.
    void saveCopy() { this->copy = this->content; }

    /// Returns to the copy and raises the generation. Feed requests that are waiting go on.
    void restore();

    /// Closes all connections and accepts no new ones.
    void goAway();
    void comeBack();

    /// Accepts connections and requests and answers none. What would have been answered meanwhile is never answered,
    /// and its connection delivers nothing further.
    void fallSilent() { this->isSilent = true; }
    void answerAgain() { this->isSilent = false; }

    /// Goes back to the previous generation, as seen by a caller whose answer was delayed.
    void reportEarlierGeneration() { --this->generation; }

    /// Returns the value of a row; nothing if it does not exist.
    std::optional<std::string> find(const std::string& table, const std::string& key) const;

    uint64_t version() const { return this->content.version; }

    bool reportsGeneration = true; ///< the header with the generation is sent

private:
    struct Row {
        std::string value;
        uint64_t version = 0;
        bool deleted = false;
    };

    struct Content {
        std::map<std::pair<std::string, std::string>, Row> rows; ///< by table and key
        uint64_t version = 0;
    };

    struct FeedRequest {
        std::string table;
        uint64_t after = 0;
        HttpRespond respond;
    };

    class Handler;

    void listen(uint16_t port);
    void change(const std::string& table, const std::string& key, Row);
    void handleRead(const std::string& target, const HttpRespond&) const;
    void handleTransaction(const std::string& body, const HttpRespond&);
    void handleFeed(FeedRequest, bool waitsForChange);
    bool answerFeed(const FeedRequest&) const;
    void respondWith(const HttpRespond&, unsigned status, std::string body) const;
    /// Range of keys from `from`, included, to `to`, excluded; an empty text is no bound.
    struct KeyRange {
        std::string from;
        std::string to;

        bool contains(const std::string& key) const
        {
            return key >= this->from && (this->to.empty() || key < this->to);
        }
    };

    std::string encodeRows(const std::string& table, std::optional<uint64_t> after, const KeyRange& = {}) const;

    boost::asio::io_context& context;
    Content content;
    Content copy;
    uint64_t generation = 1;
    uint16_t port = 0;
    bool isSilent = false;
    mutable std::vector<HttpRespond> unanswered; ///< keeps the connections of lost answers open
    std::list<FeedRequest> waiting;
    std::unique_ptr<HttpServer> server;
};

} // namespace Lavendervane::Adapter
