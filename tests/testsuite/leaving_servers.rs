//! Backend servers that are to leave: no new work after a short time at every
//! instance, and what runs there ends.
