//! Wire types of the chat-completions and completions APIs.

use serde::{Deserialize, Serialize};
use verbenahead_core::{RequestId, units::Tokens};
use verbenahead_upstream::FinishReason;

/// Length of an answer when the caller names none.
pub const DEFAULT_MAX_TOKENS: Tokens = Tokens(1024);

/// Bytes of text that count as one token when a prompt is estimated.
const BYTES_PER_TOKEN: u64 = 4;

/// `GenerationBody` is the body of `POST /v1/chat/completions` and `POST /v1/completions`.
/// Fields that are not listed are ignored, as callers' libraries send many.
#[derive(Debug, Clone, Deserialize)]
pub struct GenerationBody {
    /// Name of the model.
    pub model: String,
    /// Messages of a chat.
    #[serde(default)]
    pub messages: Option<Vec<ChatMessage>>,
    /// Prompt of a completion.
    #[serde(default)]
    pub prompt: Option<String>,
    /// Most tokens of the answer.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Newer name of `max_tokens`.
    #[serde(default)]
    pub max_completion_tokens: Option<u64>,
    /// Seed of the sampling.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// `ChatMessage` is one message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl GenerationBody {
    /// Returns the prompt as one text: the messages of a chat, each on its own lines, or the prompt
    /// of a completion.
    pub fn prompt_text(&self) -> Option<String> {
        if let Some(prompt) = &self.prompt {
            return Some(prompt.clone());
        }
        let messages = self.messages.as_ref().filter(|m| !m.is_empty())?;
        let lines: Vec<_> = messages
            .iter()
            .map(|message| format!("{}: {}", message.role, message.content))
            .collect();
        Some(lines.join("\n"))
    }

    /// Returns the most tokens of the answer, at most `limit`.
    pub fn max_answer(&self, limit: Tokens) -> Tokens {
        let wanted = self.max_completion_tokens.or(self.max_tokens);
        wanted.map_or(DEFAULT_MAX_TOKENS, Tokens).min(limit)
    }
}

/// Estimates the tokens of a prompt from its length.
pub fn estimate_tokens(prompt: &str) -> Tokens {
    Tokens((prompt.len() as u64).div_ceil(BYTES_PER_TOKEN))
}

/// `AnswerStyle` tells the two APIs apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerStyle {
    /// Chat completions.
    Chat,
    /// Text completions.
    Text,
}

impl AnswerStyle {
    /// Returns the style of an answer to this body.
    pub fn of(body: &GenerationBody) -> Self {
        if body.prompt.is_some() {
            Self::Text
        } else {
            Self::Chat
        }
    }

    fn object(self, is_chunk: bool) -> &'static str {
        match (self, is_chunk) {
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Chat, false) => "chat.completion",
            (Self::Text, _) => "text_completion",
        }
    }
}

/// `AnswerHead` is what all documents of one answer share.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// Id of the request.
    pub request: RequestId,
    /// Name of the model.
    pub model: String,
    /// Which API was called.
    pub style: AnswerStyle,
    /// Time of acceptance in seconds since 1970.
    pub created: u64,
}

#[derive(Debug, Serialize)]
struct Document<'a> {
    id: String,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Default, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<FinishReason>,
}

#[derive(Debug, Default, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl AnswerHead {
    fn document<'a>(&'a self, is_chunk: bool, choice: Choice<'a>) -> Document<'a> {
        Document {
            id: format!("chatcmpl-{}", self.request),
            object: self.style.object(is_chunk),
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage: None,
        }
    }

    /// Returns the JSON of a chunk with one token. The first one of a chat names the role.
    pub fn token_chunk(&self, text: &str, is_first: bool) -> String {
        let choice = match self.style {
            AnswerStyle::Chat => Choice {
                delta: Some(Delta {
                    role: is_first.then_some("assistant"),
                    content: Some(text),
                }),
                ..Choice::default()
            },
            AnswerStyle::Text => Choice {
                text: Some(text),
                ..Choice::default()
            },
        };
        to_json(&self.document(true, choice))
    }

    /// Returns the JSON of the chunk that ends an answer.
    pub fn end_chunk(&self, reason: FinishReason) -> String {
        let mut choice = Choice {
            finish_reason: Some(reason),
            ..Choice::default()
        };
        match self.style {
            AnswerStyle::Chat => choice.delta = Some(Delta::default()),
            AnswerStyle::Text => choice.text = Some(""),
        }
        to_json(&self.document(true, choice))
    }

    /// Returns the JSON of a whole answer.
    pub fn whole(
        &self,
        text: &str,
        reason: FinishReason,
        prompt_tokens: Tokens,
        answer_tokens: Tokens,
    ) -> String {
        let mut choice = Choice {
            finish_reason: Some(reason),
            ..Choice::default()
        };
        match self.style {
            AnswerStyle::Chat => {
                choice.message = Some(Delta {
                    role: Some("assistant"),
                    content: Some(text),
                });
            }
            AnswerStyle::Text => choice.text = Some(text),
        }
        let mut document = self.document(false, choice);
        document.usage = Some(Usage {
            prompt_tokens: prompt_tokens.0,
            completion_tokens: answer_tokens.0,
            total_tokens: (prompt_tokens + answer_tokens).0,
        });
        to_json(&document)
    }
}

fn to_json(document: &Document<'_>) -> String {
    serde_json::to_string(document).unwrap_or_default()
}

/// `ModelList` is the answer to `GET /v1/models`.
#[derive(Debug, Serialize)]
pub struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Debug, Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: String,
}

impl ModelList {
    /// Builds the list from pairs of model and service.
    pub fn new(models: impl IntoIterator<Item = (String, String)>) -> Self {
        let data = models
            .into_iter()
            .map(|(id, owned_by)| ModelEntry {
                id,
                object: "model",
                owned_by,
            })
            .collect();
        Self {
            object: "list",
            data,
        }
    }
}
