//! A stand-in for replicas of a plain service.
#![allow(dead_code)]

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::rig::{self, Record, ReplicaRequest, Rig, respond};

pub struct Desk {
    pub id: String,
    pub address: SocketAddr,
    zone: &'static str,
    born: u128,
    record: Record,
    work_time: Duration,
    runs: Mutex<Vec<String>>,
}

impl Desk {
    pub fn start(rig: &Rig, number: u8, work_time: Duration) -> Arc<Desk> {
        let desk = Arc::new(Desk {
            id: format!("i-desk-{number}"),
            address: rig::free_address(rig.ip(150 + number)),
            zone: ["palermo", "catania", "agrigento"][usize::from(number) % 3],
            born: rig::unix_millis(),
            record: rig.record.clone(),
            work_time,
            runs: Mutex::default(),
        });
        let shared = Arc::clone(&desk);
        rig::serve(desk.address, move |request, stream| shared.serve(request, stream));
        let (beating, store) = (Arc::clone(&desk), rig.store());
        std::thread::spawn(move || {
            loop {
                rig::put_item(store, &format!("servers/{}", beating.id), &beating.beat());
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
        desk
    }

    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap_or_else(|it| it.into_inner()).clone()
    }

    fn beat(&self) -> String {
        format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":0,\"born\":{}}}",
            self.address, self.zone, self.born
        )
    }

    fn serve(&self, request: &ReplicaRequest, stream: &mut TcpStream) -> bool {
        let id = request.id();
        let named = ("X-Gentianwheel-Request-Id", id);
        if request.field("x-gentianwheel-expect-instance") != self.id {
            return respond(stream, 421, &[("X-Gentianwheel-Instance-Id", &self.id), named], b"");
        }
        self.record.line(format!("{} runs {id} {} {}", self.id, request.method, request.path));
        self.runs.lock().unwrap_or_else(|it| it.into_inner()).push(id.to_owned());
        std::thread::sleep(self.work_time);
        let stamp = format!("{}.{id}", self.id);
        respond(stream, 200, &[named, ("X-Gentianwheel-Server-Stamp", &stamp)], &[b'x'; 800])
    }
}
