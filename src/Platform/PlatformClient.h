#pragma once

#include "Control/TableMessages.h"
#include "Membership/Member.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

using TableCallback = std::function<void(TableResult)>;

/// Asynchronous client of the platform's table, object store and VM list (docs/design.md, 6.3).
/// All calls must be made on the thread that runs the io_context; callbacks run there, none after destruction.
class PlatformClient {
public:
    /// `timeout` bounds each call, from its start to its answer.
    PlatformClient(boost::asio::io_context&, std::string address,
        std::chrono::milliseconds timeout = std::chrono::milliseconds(2000));
    ~PlatformClient();

    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    /// Reads rows by key. The result has a row with revision 0 for each absent key.
    void read(const std::vector<std::string>& keys, TableCallback);

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after the key `after`, ordered by
    /// key.
    void scan(const std::string& prefix, const std::string& after, uint32_t limit, TableCallback);

    /// Runs a transaction. The status is `Unknown` unless the platform reported the outcome or no connection was made.
    void transact(const TableTransaction&, TableCallback);

    /// Stores an object. The callback receives true if the platform confirmed it.
    void putObject(const std::string& name, std::string content, std::function<void(bool)>);

    /// Fetches an object. The callback receives nullopt if there is none or the platform did not answer.
    void getObject(const std::string& name, std::function<void(std::optional<std::string>)>);

    /// Fetches the list of live and leaving VMs, with incarnation 0. The callback receives nullopt if the platform did
    /// not answer.
    void listVms(std::function<void(std::optional<std::vector<Member>>)>);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Lavendervane
