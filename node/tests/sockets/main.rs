//! Starts the real program as a process and speaks to it as clients, servers and peers do.

mod admin;
mod cli;
mod cut_off;
mod endings;
mod fixtures;
mod fleet;
mod floods;
mod golden;
mod helper;
mod jsonrpc;
mod links;
mod memory;

mod decision_log;
mod departures;
mod reload;
mod result_store;
mod soak;
mod upgrade;
mod upgrade_store;
mod uwsgi;
mod vrrp;
mod windows;
