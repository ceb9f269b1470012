/// \file
/// Macros shared by all modules; each carries the PP_ prefix.
#pragma once

/// Defines a strongly typed value with a tag of its own.
#define PP_STRONG_TYPE(Name, Representation) \
    struct Name##Tag { };                    \
    using Name = StrongValue<Name##Tag, Representation>
