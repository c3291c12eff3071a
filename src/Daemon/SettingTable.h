#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace Lavendervane {

/// One setting of the daemon. Its flag is "--name"; its environment variable is LAVENDERVANE_NAME, in upper case and
/// with underscores for hyphens.
struct SettingSpecification {
    enum class Kind {
        Text,
        Address,
        AddressList,
        Number,
        Secret, ///< read from the environment only, because other users can see a process's flags
    };
    std::string name;
    Kind kind = Kind::Text;
    std::string description;
    std::string defaultValue;
    bool required = false;
    std::string unit; ///< unit of a Number setting
    uint64_t minimum = 0; ///< smallest value of a Number setting
    uint64_t maximum = 0; ///< largest value of a Number setting

    std::string flag() const { return "--" + this->name; }
    std::string environmentVariable() const;

    /// Returns the value of the environment variable, or the default if it is not set.
    std::string environmentValue() const;

    /// Throws Error (step "read settings") that names the setting if the value is invalid.
    void validate(const std::string& value) const;
};

/// All settings, in the order of the help text.
const std::vector<SettingSpecification>& settingTable();

/// Splits a comma-separated list.
std::vector<std::string> splitAddresses(const std::string&);

} // namespace Lavendervane
