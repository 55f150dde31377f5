"use strict";

// Maximum time without an event before the page is shown as not live, in milliseconds.
const MAX_SILENCE_MS = 8000;

const room = document.getElementById("room");
const silence = document.getElementById("silence");
let lastEvent = Date.now();

const source = new EventSource("/events");

source.addEventListener("room", (event) => {
  room.innerHTML = event.data;
  lastEvent = Date.now();
});

setInterval(() => {
  const age = Date.now() - lastEvent;
  silence.hidden = age < MAX_SILENCE_MS;
  silence.textContent = `NOT LIVE: last update ${Math.round(age / 1000)} s ago`;
}, 1000);
