//! Command line of the lab; each subcommand runs one module.

use buckthorn_lab::experiment::{convergence, domain, long, moves, storm};
use buckthorn_lab::flags::{Lab, LabCmd};
use buckthorn_lab::{backend, demo, load, log, report, scale};

fn main() -> anyhow::Result<()> {
    match Lab::from_env_or_exit().subcommand {
        LabCmd::Demo(flags) => demo::run(&flags),
        LabCmd::Log(flags) => log::run(&flags),
        LabCmd::Backend(flags) => backend::run(&flags),
        LabCmd::Load(flags) => load::run(&flags),
        LabCmd::Scale(flags) => scale::run(&flags),
        LabCmd::Report(flags) => report::run(&flags),
        LabCmd::Moves(flags) => moves::run(&flags),
        LabCmd::Domain(flags) => domain::run(&flags),
        LabCmd::Storm(flags) => storm::run(&flags),
        LabCmd::Convergence(flags) => convergence::run(&flags),
        LabCmd::Long(flags) => long::run(&flags),
    }
}
