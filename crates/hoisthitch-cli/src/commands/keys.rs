//! `hoisthitch keys`: generates keys and certificates for trials and tests.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    }, //
};

use argh::FromArgs;
use eyre::{
    Result,
    WrapErr, //
};
use rcgen::{
    BasicConstraints,
    CertificateParams,
    DnType,
    ExtendedKeyUsagePurpose,
    IsCa,
    Issuer,
    KeyPair,
    KeyUsagePurpose, //
};

/// generate a certificate authority and a certificate for each name, for mutual
/// TLS between entries
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "keys",
    example = "hoisthitch keys --out keys entry-1 entry-2",
    note = "The authority's key is written beside the certificates: use them for tests, not in production."
)]
pub struct KeysCommand {
    /// folder to write to
    #[argh(option)]
    out: PathBuf,
    /// names of the entries
    #[argh(positional)]
    names: Vec<String>,
}

impl KeysCommand {
    /// Generates the authority and the certificates and writes their files.
    pub fn run(self) -> Result<()> {
        fs::create_dir_all(&self.out).wrap_err_with(|| self.out.display().to_string())?;
        let key = KeyPair::generate()?;
        let params = authority_params()?;
        let authority = params.self_signed(&key)?;
        write(&self.out, "authority.pem", &authority.pem())?;
        write(&self.out, "authority.key", &key.serialize_pem())?;
        let issuer = Issuer::new(params, key);
        for name in &self.names {
            let key = KeyPair::generate()?;
            let certificate = member_params(name)?.signed_by(&key, &issuer)?;
            write(&self.out, &format!("{name}.pem"), &certificate.pem())?;
            write(&self.out, &format!("{name}.key"), &key.serialize_pem())?;
        }
        println!(
            "{} certificate(s) in {}",
            self.names.len(),
            self.out.display()
        );
        Ok(())
    }
}

fn authority_params() -> Result<CertificateParams> {
    let mut params = CertificateParams::new(Vec::new())?;
    params
        .distinguished_name
        .push(DnType::CommonName, "hoisthitch test authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

fn member_params(name: &str) -> Result<CertificateParams> {
    let mut params = CertificateParams::new(vec![name.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    Ok(params)
}

fn write(folder: &Path, name: &str, text: &str) -> Result<()> {
    let path = folder.join(name);
    fs::write(&path, text).wrap_err_with(|| path.display().to_string())
}
