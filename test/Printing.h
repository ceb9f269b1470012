/// \file
/// Catch2 string conversions for types that Catch2 would otherwise print as containers.
#pragma once

#include <Pimentopoint/Core>
#include <catch2/catch.hpp>

template <>
struct Catch::StringMaker<pimentopoint::KeyRange> {
    static std::string convert(const pimentopoint::KeyRange& range)
    {
        return "[" + std::to_string(range.begin()) + ", " + std::to_string(range.end()) + ")";
    }
};
