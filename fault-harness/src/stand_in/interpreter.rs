//! The interpreter of a node, on its link: runs and pauses what it is told to, says what became of it, and keeps its
//! notices over broken links.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use tokio::io::{AsyncWriteExt, BufReader, DuplexStream};
use tokio::sync::{mpsc, oneshot, watch, Notify};

use super::{command, txn};
use crate::history::Event;
use crate::model::interpreter::{Happened, Make, Vm, Work};
use crate::model::Ms;
use crate::play_context::PlayContext;
use crate::scenario::Happening;
use crate::wire;

/// Notices that are kept for links to come.
const RETAINED_RUNS: usize = 4000;
/// Answers to commands that wait to be written.
const ANSWERS: usize = 1024;

struct State {
    vm: Vm,
    /// Which start of the node it belongs to.
    life: u64,
    started: Ms,
    notices: VecDeque<(u64, String)>,
    last: u64,
    began: HashMap<u64, Ms>,
    /// Replies of the tier below, until they are handed on.
    replies: HashMap<u64, String>,
    /// Runs that go on without their call.
    poorer: HashSet<u64>,
    /// Requests that are still to be read.
    unread: HashMap<u64, oneshot::Sender<()>>,
    up: bool,
}

impl State {
    /// One that starts now and has run nothing.
    fn fresh(vm: Vm, life: u64, started: Ms) -> State {
        State {
            vm,
            life,
            started,
            notices: VecDeque::new(),
            last: 0,
            began: HashMap::new(),
            replies: HashMap::new(),
            poorer: HashSet::new(),
            unread: HashMap::new(),
            up: true,
        }
    }
}

/// One node's interpreter.
pub struct Interpreter {
    context: Rc<PlayContext>,
    node: usize,
    state: RefCell<State>,
    /// Something has changed in what will happen next.
    poke: Notify,
    /// The number of the last notice.
    last_command: watch::Sender<u64>,
    /// The link of the day; an older one is over.
    link: watch::Sender<u64>,
    /// What it has died of; its node goes with it.
    fell: RefCell<Option<&'static str>>,
}

impl Interpreter {
    /// One that is up, and has been for long unless it is cold.
    pub fn new(context: Rc<PlayContext>, node: usize, cold: bool) -> Rc<Interpreter> {
        let state = State::fresh(Interpreter::make(&context, node, cold), 1, context.now());
        Rc::new(Interpreter {
            context,
            node,
            state: RefCell::new(state),
            poke: Notify::new(),
            last_command: watch::channel(0).0,
            link: watch::channel(0).0,
            fell: RefCell::new(None),
        })
    }

    fn make(context: &PlayContext, node: usize, cold: bool) -> Vm {
        Vm::new(Make::of(&context.scenario.fleet, context.schedule.speeds[node]), context.now(), cold)
    }

    /// It ends, with its node; all that it ran is gone.
    pub fn end(&self) {
        {
            let mut state = self.state.borrow_mut();
            state.up = false;
            state.unread.clear();
            state.vm = Interpreter::make(&self.context, self.node, true);
        }
        self.link.send_modify(|link| *link += 1);
    }

    /// It starts anew with a new start of its node, cold.
    pub fn start(&self) {
        {
            let mut state = self.state.borrow_mut();
            let life = state.life + 1;
            *state =
                State::fresh(Interpreter::make(&self.context, self.node, true), life, self.context.now());
        }
        self.fell.borrow_mut().take();
        self.last_command.send_replace(0);
        self.poke.notify_one();
    }

    /// Whether it is cold.
    pub fn cold(&self) -> bool {
        self.state.borrow().vm.cold()
    }

    /// What it has died of, told once.
    pub fn fallen(&self) -> Option<&'static str> {
        self.fell.borrow_mut().take()
    }

    /// Stands still, or goes on.
    pub fn set_paused(&self, still: bool) {
        self.change(|vm, now| vm.set_paused(now, still));
    }

    /// Has a part of its speed from now on.
    pub fn slow(&self, factor: f64) {
        self.change(|vm, now| {
            let happened = vm.advance(now);
            vm.factor = factor;
            happened
        });
    }

    /// A request has come to the node's machine: reading it takes the cores, and the node has it only then. What is
    /// returned tells when; it never does if the machine ends before.
    pub fn reads(&self, id: u64) -> oneshot::Receiver<()> {
        let (tell, read) = oneshot::channel();
        let work = self.context.scenario.fleet.read_ms;
        self.state.borrow_mut().unread.insert(id, tell);
        self.change(|vm, now| vm.read(now, id, work));
        read
    }

    /// Nobody waits any more for a request that is still to be read.
    pub fn unread(&self, id: u64) {
        self.state.borrow_mut().unread.remove(&id);
        self.change(|vm, now| vm.unread(now, id));
    }

    /// Whether so much lies unread that no more connections are taken.
    pub fn is_overloaded(&self) -> bool {
        self.state.borrow().vm.is_overloaded()
    }

    /// A request was written to the node.
    pub fn holds(&self, id: u64, kb: f64) {
        self.change(|vm, now| {
            vm.hold(now, id, kb);
            Vec::new()
        });
    }

    /// A front end opened a connection.
    pub fn connected(&self) {
        let work = self.context.scenario.fleet.connect_ms;
        self.change(|vm, now| vm.connect(now, work));
    }

    /// A request is over for its caller.
    pub fn over(&self, id: u64) {
        self.change(|vm, now| vm.over(now, id));
    }

    /// Whether a run waits for its call with this body.
    pub fn waits(&self, id: u64, body: &[u8]) -> bool {
        let state = self.state.borrow();
        state.vm.at_call(id) && body == Interpreter::call_body(id, state.life).as_bytes()
    }

    /// The tier below has replied; the node has to hand on just that.
    pub fn replied(&self, id: u64, reply: &str) {
        self.state.borrow_mut().replies.insert(id, reply.into());
    }

    fn call_body(id: u64, life: u64) -> String {
        format!("call of {id:016x} in life {life}")
    }

    fn change(&self, change: impl FnOnce(&mut Vm, Ms) -> Vec<Happened>) {
        let happened = change(&mut self.state.borrow_mut().vm, self.context.now());
        self.tell(happened);
        self.poke.notify_one();
    }

    /// Lets its runs go on, for as long as the play.
    pub async fn work(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().vm.next().unwrap_or(f64::INFINITY);
            tokio::select! {
                () = self.context.clock.until(next) => {}
                () = self.poke.notified() => {}
            }
            let happened = self.state.borrow_mut().vm.advance(self.context.now());
            self.tell(happened);
        }
    }

    fn tell(&self, happened: Vec<Happened>) {
        for what in happened {
            match what {
                Happened::Read(id) => {
                    if let Some(tell) = self.state.borrow_mut().unread.remove(&id) {
                        // Its front end may have given up.
                        let _ = tell.send(());
                    }
                }
                Happened::Done(id) => {
                    let result = {
                        let state = self.state.borrow();
                        let poorer = if state.poorer.contains(&id) { " poorer" } else { "" };
                        format!("job {id:016x} of n{} in life {}{poorer}", self.node + 1, state.life)
                    };
                    self.ended(id, "done", Some(result));
                }
                Happened::Aborted(id) => self.ended(id, "aborted", None),
                Happened::AtCall(id) => {
                    let life = self.state.borrow().life;
                    let body = Interpreter::call_body(id, life);
                    self.say(|notice| wire::await_call(notice, &format!("{id:016x}"), &body));
                }
                Happened::Fell(why) => {
                    self.context.note(Event::Fell { node: self.node, text: why.into() });
                    *self.fell.borrow_mut() = Some(why);
                }
            }
        }
    }

    fn ended(&self, id: u64, end: &str, result: Option<String>) {
        let took = {
            let mut state = self.state.borrow_mut();
            state.poorer.remove(&id);
            state.replies.remove(&id);
            state.began.remove(&id).map_or(0.0, |began| self.context.now() - began)
        };
        self.context.note(Event::Ended { txn: id, node: self.node, result: result.clone() });
        self.context.happened(self.node, Happening::Ended);
        self.say(|notice| {
            wire::value(
                notice,
                &format!("{id:016x}"),
                end,
                took as u64,
                result.as_deref().unwrap_or_default(),
            )
        });
    }

    fn say(&self, text: impl FnOnce(u64) -> String) {
        let last = {
            let mut state = self.state.borrow_mut();
            state.last += 1;
            let notice = (state.last, text(state.last));
            state.notices.push_back(notice);
            if state.notices.len() > RETAINED_RUNS {
                state.notices.pop_front();
            }
            state.last
        };
        self.last_command.send_replace(last);
    }

    /// Serves one link, until the next one or its end.
    pub async fn serve(self: Rc<Self>, stream: DuplexStream) {
        if !self.state.borrow().up {
            return;
        }
        self.link.send_modify(|link| *link += 1);
        let mut link = self.link.subscribe();
        let mine = *link.borrow_and_update();
        let (reader, mut writer) = tokio::io::split(stream);
        let mut input = BufReader::new(reader);
        let (put, mut answers) = mpsc::channel::<String>(ANSWERS);
        let (from, mut read) = watch::channel(None);
        let listening = async {
            while let Some((words, body)) = command(&mut input).await {
                if let [word, number] = &words[..] {
                    if word == "CONNECT" {
                        let (cold, up_for) = {
                            let state = self.state.borrow();
                            (state.vm.cold(), self.context.now() - state.started)
                        };
                        // One that was up before the play has been for long.
                        let up_for = if cold { up_for } else { up_for + 60_000.0 };
                        let _ = put.send(wire::banner(cold, up_for as u64)).await;
                        from.send_replace(number.parse::<u64>().ok());
                        continue;
                    }
                }
                let Some(answer) = self.commanded(&words, &body) else { return };
                if !answer.is_empty() && put.send(answer).await.is_err() {
                    return;
                }
            }
        };
        let speaking = async {
            let Ok(Some(mut sent)) = read.wait_for(Option::is_some).await.map(|number| *number) else {
                return;
            };
            let mut last_command = self.last_command.subscribe();
            loop {
                // The banner comes before the notices that follow it.
                let mut text = String::new();
                while let Ok(answer) = answers.try_recv() {
                    text.push_str(&answer);
                }
                {
                    let state = self.state.borrow();
                    state
                        .notices
                        .iter()
                        .filter(|(number, _)| *number > sent)
                        .for_each(|(_, notice)| text.push_str(notice));
                    sent = sent.max(state.last);
                }
                if !text.is_empty() && writer.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                tokio::select! {
                    answer = answers.recv() => {
                        let Some(answer) = answer else { return };
                        if writer.write_all(answer.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                    changed = last_command.changed() => if changed.is_err() { return },
                }
            }
        };
        tokio::select! {
            () = listening => {}
            () = speaking => {}
            _ = link.wait_for(|link| *link != mine) => {}
        }
    }

    /// Carries a command out; what is to be answered, or none where the link is to end.
    fn commanded(&self, words: &[String], body: &[u8]) -> Option<String> {
        let id = txn(words.get(1));
        match (words[0].as_str(), id) {
            ("TOP", _) => {
                let gauges = self.state.borrow().vm.gauges(self.context.now());
                return Some(wire::tops(words.get(1)?, &gauges));
            }
            ("APPLY", Some(id)) => {
                if !self.apply(id, words.get(2)?, body) {
                    return Some(format!("ERROR APPLY {}\r\n", words[1]));
                }
            }
            ("BREAK", Some(id)) => self.change(|vm, now| vm.pause(now, id)),
            ("CONTINUE", Some(id)) => {
                self.change(|vm, now| if vm.at_call(id) { Vec::new() } else { vm.go_on(now, id) });
            }
            ("RESOLVE", Some(id)) => {
                // One that crossed the end of its run resolves nothing.
                if self.state.borrow().vm.at_call(id) {
                    let reply = self.state.borrow_mut().replies.remove(&id);
                    if reply.as_ref().is_none_or(|reply| reply.as_bytes() != body) {
                        let text = format!("the reply to the call of {id:016x} is not the one that came");
                        self.context.note(Event::Spoilt { node: self.node, text });
                    }
                    self.change(|vm, now| vm.go_on(now, id));
                }
            }
            ("STUB", Some(id)) => {
                if self.state.borrow().vm.at_call(id) {
                    self.state.borrow_mut().poorer.insert(id);
                    self.change(|vm, now| vm.go_on(now, id));
                }
            }
            _ => return None,
        }
        Some(String::new())
    }

    /// Begins a run; false if it is of nothing that came like this.
    fn apply(&self, id: u64, class: &str, body: &[u8]) -> bool {
        let written = self.context.written(id).filter(|written| written.node == self.node);
        let whole = written.filter(|written| {
            let ask = &self.context.schedule.requests[written.n];
            self.context.scenario.classes[ask.class].name == class
                && self.context.body(written.n).as_bytes() == body
        });
        let Some(written) = whole else {
            let text = format!("APPLY {id:016x} {class}: no such request came here, or its body is another");
            self.context.note(Event::Spoilt { node: self.node, text });
            return false;
        };
        if self.state.borrow().vm.runs(id) {
            return true;
        }
        if !self.state.borrow().vm.holds(id) {
            self.say(|notice| wire::value(notice, &format!("{id:016x}"), "stale", 0, ""));
            return true;
        }
        let ask = &self.context.schedule.requests[written.n];
        let work = Work { txn: id, work: ask.work, calls: self.context.scenario.classes[ask.class].calls };
        self.state.borrow_mut().began.insert(id, self.context.now());
        self.context.note(Event::Began { txn: id, node: self.node });
        self.change(|vm, now| vm.run(now, work));
        self.context.happened(self.node, Happening::Began);
        true
    }
}
