//! Experiments, one subcommand per file.

mod connections;
mod overhead;
mod overload;
mod sharing;
mod slopes;

pub use connections::ConnectionsCommand;
pub use overhead::OverheadCommand;
pub use overload::OverloadCommand;
pub use sharing::SharingCommand;
pub use slopes::SlopesCommand;
