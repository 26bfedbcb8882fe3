//! Membership of a failure domain and the right to admit keys.
