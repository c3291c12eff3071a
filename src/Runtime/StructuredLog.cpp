#include "Runtime/StructuredLog.h"

#include "Runtime/BootTime.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

namespace Lavendervane {

StructuredLog::StructuredLog(std::string vm, StructuredLogSettings settings)
    : vm(std::move(vm))
    , settings(settings)
{
    const int flags = fcntl(this->settings.descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(this->settings.descriptor, F_SETFL, flags | O_NONBLOCK);
}

void StructuredLog::write(std::string_view kind, std::initializer_list<Field> fields)
{
    const std::lock_guard lock(this->mutex);
    const Instant now = bootTimeNow();
    auto found = this->rates.find(kind);
    if (found == this->rates.end())
        found = this->rates.emplace(kind, Rate {}).first;
    Rate& rate = found->second;
    if (now - rate.second >= std::chrono::seconds(1)) {
        rate.second = now;
        rate.lines = 0;
    }
    if (++rate.lines > this->settings.linesPerSecond) {
        ++rate.suppressed;
        return;
    }
    nlohmann::ordered_json line;
    line["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    line["vm"] = this->vm;
    line["event"] = kind;
    for (const auto& [name, value] : fields)
        line[std::string(name)] = value;
    if (rate.suppressed)
        line["suppressed_before"] = std::exchange(rate.suppressed, 0);
    if (this->dropped)
        line["dropped_before"] = this->dropped;
    std::string text = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    if (this->buffer.size() + text.size() >= this->settings.bufferLimit) {
        ++this->dropped;
        return;
    }
    this->dropped = 0;
    this->buffer.append(text).append("\n");
    this->flush();
}

void StructuredLog::flush()
{
    const ssize_t written = ::write(this->settings.descriptor, this->buffer.data(), this->buffer.size());
    if (written > 0)
        this->buffer.erase(0, static_cast<size_t>(written));
}

} // namespace Lavendervane
