#pragma once

#include "Core/Instant.h"
#include "Core/StrongString.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

// Conversions between JSON and basic types, for recorded traces.
namespace nlohmann {

template <typename Tag> struct adl_serializer<Lavendervane::StrongString<Tag>> {
    static void to_json(json& out, const Lavendervane::StrongString<Tag>& value) { out = value.str(); }
    static void from_json(const json& in, Lavendervane::StrongString<Tag>& value)
    {
        value = Lavendervane::StrongString<Tag>(in.get<std::string>());
    }
};

/// A duration is its number of nanoseconds.
template <> struct adl_serializer<Lavendervane::Duration> {
    static void to_json(json& out, const Lavendervane::Duration& value) { out = value.count(); }
    static void from_json(const json& in, Lavendervane::Duration& value)
    {
        value = Lavendervane::Duration(in.get<int64_t>());
    }
};

/// An instant is the number of nanoseconds since boot.
template <> struct adl_serializer<Lavendervane::Instant> {
    static void to_json(json& out, const Lavendervane::Instant& value) { out = value.time_since_epoch().count(); }
    static void from_json(const json& in, Lavendervane::Instant& value)
    {
        value = Lavendervane::Instant(Lavendervane::Duration(in.get<int64_t>()));
    }
};

/// An absent value is null.
template <typename Value> struct adl_serializer<std::optional<Value>> {
    static void to_json(json& out, const std::optional<Value>& value)
    {
        if (value)
            out = *value;
        else
            out = nullptr;
    }
    static void from_json(const json& in, std::optional<Value>& value)
    {
        value.reset();
        if (!in.is_null())
            value = in.get<Value>();
    }
};

/// An aggregate without fields is an empty object.
template <typename Empty>
requires(std::is_empty_v<Empty>&& std::is_aggregate_v<Empty>) struct adl_serializer<Empty, void> {
    static void to_json(json& out, const Empty&) { out = json::object(); }
    static void from_json(const json&, Empty&) { }
};

/// A variant is {"kind": name of the alternative, "value": the alternative}. A variant nested in a variant is written
/// as its own alternative, without another level.
template <typename... Alternatives> struct adl_serializer<std::variant<Alternatives...>> {
    using Variant = std::variant<Alternatives...>;

    static void to_json(json& out, const Variant& value)
    {
        std::visit([&out](const auto& alternative) { writeAlternative(out, alternative); }, value);
    }

    static void from_json(const json& in, Variant& value)
    {
        if (!(readAlternative<Alternatives>(in, value) || ...))
            throw std::invalid_argument("unknown kind " + in.at("kind").dump());
    }

private:
    template <typename Alternative> static void writeAlternative(json& out, const Alternative& alternative)
    {
        if constexpr (requires { kindName(std::type_identity<Alternative> {}); }) {
            out["kind"] = kindName(std::type_identity<Alternative> {});
            out["value"] = alternative;
        } else
            out = alternative;
    }

    template <typename Alternative> static bool readAlternative(const json& in, Variant& value)
    {
        if constexpr (requires { kindName(std::type_identity<Alternative> {}); }) {
            if (in.at("kind") != kindName(std::type_identity<Alternative> {}))
                return false;
        } else if (!includesKind(in, std::type_identity<Alternative> {}))
            return false;
        if constexpr (requires { kindName(std::type_identity<Alternative> {}); })
            value = in.at("value").template get<Alternative>();
        else
            value = in.get<Alternative>();
        return true;
    }

    template <typename... Nested> static bool includesKind(const json& in, std::type_identity<std::variant<Nested...>>)
    {
        return ((in.at("kind") == kindName(std::type_identity<Nested> {})) || ...);
    }
};

} // namespace nlohmann
