/// \file
/// Macros shared by all modules; their names start with PP_.
#pragma once

/// Defines the strong type \a Name with the underlying type \a Representation.
#define PP_STRONG_TYPE(Name, Representation) \
    struct Name##Tag { };                    \
    using Name = StrongValue<Name##Tag, Representation>
